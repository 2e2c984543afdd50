package io.poplarwood.entry.node

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.decision.budget.ProbeBudget
import io.poplarwood.decision.routing.LeaseMessage
import io.poplarwood.decision.routing.Router
import io.poplarwood.decision.routing.UpstreamRow
import io.poplarwood.decision.routing.UpstreamView
import io.poplarwood.entry.runtime.DispatcherRuntime
import kotlinx.collections.immutable.ImmutableList

/** One service at this entry: the document in force and the dispatcher, router and probe budget that follow it. */
class ServiceRuntime(
    document: ServiceDocument,
    private val probeBudget: ProbeBudget,
    private val router: Router,
    val runner: DispatcherRuntime,
) {
    /** The document in force. */
    @Volatile
    var document: ServiceDocument = document
        private set

    /** Puts [newDocument] into force. */
    fun configure(newDocument: ServiceDocument) {
        document = newDocument
        runner.withDispatcher { configure(newDocument) }
    }

    /** Replaces the list of upstreams. */
    fun updateUpstreams(views: ImmutableList<UpstreamView>) = runner.withDispatcher { updateUpstreams(views) }

    /** Replaces the entries that share the upstreams. */
    fun updateEntries(refs: ImmutableList<EntryRef>) = runner.withDispatcher { updateEntries(refs) }

    /** Handles a slot message from the peer [from]. */
    fun receive(from: EntryRef, message: LeaseMessage) = runner.withDispatcher { receive(from, message) }

    /** Takes one probe from the probe budget; false when the budget is used up. */
    fun tryTakeProbe(): Boolean = runner.withDispatcher { probeBudget.tryTake(document.probesPerSecond) }

    /** What the router knows about each upstream. */
    fun upstreamRows(): ImmutableList<UpstreamRow> = runner.withDispatcher { router.snapshot() }

    /** Runs the periodic work of the dispatcher. */
    fun tick() = runner.withDispatcher { tick() }
}
