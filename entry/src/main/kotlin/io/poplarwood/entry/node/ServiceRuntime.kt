package io.poplarwood.entry.node

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.decision.budget.MeasuringBudget
import io.poplarwood.decision.routing.Router
import io.poplarwood.decision.routing.SlotMessage
import io.poplarwood.decision.routing.UpstreamRow
import io.poplarwood.decision.routing.UpstreamView
import io.poplarwood.entry.runtime.DispatcherRuntime
import kotlinx.collections.immutable.ImmutableList

/** One service at this entry: the document in force and the decisions that follow it. */
class ServiceRuntime(
    document: ServiceDocument,
    private val probeBudget: MeasuringBudget,
    private val router: Router,
    val runner: DispatcherRuntime,
) {
    /** The document in force. */
    @Volatile
    var document: ServiceDocument = document
        private set

    /** Brings [newDocument] into force. */
    fun configure(newDocument: ServiceDocument) {
        document = newDocument
        runner.withDispatcher { configure(newDocument) }
    }

    /** Replaces the upstreams. */
    fun updateUpstreams(views: ImmutableList<UpstreamView>) = runner.withDispatcher { upstreams(views) }

    /** Replaces the entries that share the upstreams. */
    fun updateEntries(refs: ImmutableList<EntryRef>) = runner.withDispatcher { entries(refs) }

    /** Takes in a message of the peer [from]. */
    fun receive(from: EntryRef, message: SlotMessage) = runner.withDispatcher { receive(from, message) }

    /** Takes one probe from the measuring budget; false when it is used up. */
    fun tryTakeProbe(): Boolean = runner.withDispatcher { probeBudget.take(document.probesPerSecond) }

    /** What is known about each upstream. */
    fun upstreamRows(): ImmutableList<UpstreamRow> = runner.withDispatcher { router.table() }

    /** Runs the periodic systems. */
    fun tick() = runner.withDispatcher { tick() }
}
