package io.poplarwood.entry.node

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.decision.budget.ProbeBudget
import io.poplarwood.decision.routing.Router
import io.poplarwood.decision.routing.LeaseMessage
import io.poplarwood.decision.routing.UpstreamRow
import io.poplarwood.decision.routing.UpstreamView
import io.poplarwood.entry.runtime.DispatcherRuntime
import kotlinx.collections.immutable.ImmutableList

/** One service at this entry: the document in force and the decisions that follow it. */
class ServiceRuntime(
    document: ServiceDocument,
    private val measuring: ProbeBudget,
    private val router: Router,
    val runner: DispatcherRuntime,
) {
    /** The document in force. */
    @Volatile
    var document: ServiceDocument = document
        private set

    /** Brings [next] into force. */
    fun configure(next: ServiceDocument) {
        document = next
        runner.enter { configure(next) }
    }

    /** Replaces the upstreams. */
    fun upstreams(list: ImmutableList<UpstreamView>) = runner.enter { updateUpstreams(list) }

    /** Replaces the entries that share the upstreams. */
    fun entries(list: ImmutableList<EntryRef>) = runner.enter { updateEntries(list) }

    /** Takes in a message of the peer [from]. */
    fun receive(from: EntryRef, message: LeaseMessage) = runner.enter { receive(from, message) }

    /** Takes one probe from the measuring budget; false when it is used up. */
    fun takeProbe(): Boolean = runner.enter { measuring.tryTake(document.probesPerSecond) }

    /** What is known about each upstream. */
    fun table(): ImmutableList<UpstreamRow> = runner.enter { router.snapshot() }

    /** Runs the periodic systems. */
    fun tick() = runner.enter { tick() }
}
