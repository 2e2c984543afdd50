package io.poplarwood.fleet

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.id.Zone
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.random.SplitMix
import io.poplarwood.fleet.config.ChangeResult
import io.poplarwood.fleet.config.ConfigCodec
import io.poplarwood.fleet.message.Peer
import io.poplarwood.fleet.store.StoreOperation
import io.poplarwood.fleet.store.StoreResult
import io.poplarwood.fleet.virtual.Timeline
import io.poplarwood.fleet.virtual.VirtualStore
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Two nodes that change the same document concurrently. The [choices] select the transaction or read of a change row
 * that completes next, and whether it is applied and its answer lost. After the last choice, no faults occur.
 */
internal class TwoWriters(private val choices: List<Int>) {
    private class Pending(val node: Int, val id: Long, val operation: StoreOperation)

    private val timeline = Timeline()
    private val store = VirtualStore(timeline, SplitMix(1))
    private val nodes = List(2) { i ->
        val ref = EntryRef(EntryId("e$i"), Incarnation(i.toLong(), i.toLong()))
        val settings = FleetSettings(ref, "a$i", "c$i", Zone("z"), listOf("a0", "a1"))
        val clock = object : Clock {
            override fun now() = Instant.fromEpochMilliseconds(0) + timeline.now()
        }
        FleetNode(settings, timeline, clock, SplitMix(i + 10L))
    }
    private val pending = ArrayList<Pending>()
    private var controlled = false
    private var next = 0
    private val versions = HashMap<Int, Long>()

    /** Results by change id. */
    val results = HashMap<String, ChangeResult>()

    /** Number of options at the first step after the last choice; 0 when the run ended before that step. */
    var options = 0
        private set

    fun run(): TwoWriters {
        repeat(80) { tick() }
        controlled = true
        nodes.forEachIndexed { i, n -> execute(i, n.change(request("w$i", within = 10L + i))) }
        repeat(STEPS) {
            if (results.size == 2 && pending.isEmpty()) return this
            step()
        }
        return this
    }

    private fun step() {
        val available = pending.flatMap { p -> outcomes(p.operation).map { p to it } }
        val count = available.size + 1
        val choice = if (next < choices.size) {
            choices[next++]
        } else {
            if (options == 0) options = count
            0
        }
        if (choice == available.size) return tick()
        val (chosen, outcome) = available[choice]
        pending -= chosen
        val storeResult = if (outcome != Outcome.NOT_APPLIED) store.apply(chosen.operation) else null
        val result = storeResult.takeIf { outcome == Outcome.WELL } ?: StoreResult.Failed(StoreFailure.AnswerLost)
        execute(chosen.node, nodes[chosen.node].storeCompleted(chosen.id, result))
    }

    private enum class Outcome { WELL, ANSWER_LOST, NOT_APPLIED }

    private fun outcomes(operation: StoreOperation): List<Outcome> =
        if (operation is StoreOperation.Transact) Outcome.entries else listOf(Outcome.WELL)

    private fun tick() {
        timeline.runTo(timeline.now() + 100.milliseconds)
        nodes.forEachIndexed { i, n -> execute(i, n.tick()) }
    }

    private fun execute(from: Int, outputs: List<FleetOutput>) {
        for (output in outputs) {
            when (output) {
                is FleetOutput.Notify -> observe(from, output.event)
                is FleetOutput.Perform -> perform(from, output)
                is FleetOutput.Send -> {
                    val to = if (output.address == "a0") 0 else 1
                    execute(to, nodes[to].receive(Peer(nodes[from].self, "a$from"), output.message))
                }
            }
        }
    }

    private fun observe(node: Int, event: FleetEvent) {
        if (event is FleetEvent.ChangeCompleted) {
            check(results.put(event.changeId, event.result) == null) {
                "settled twice"
            }
        }
        if (event is FleetEvent.InForce) {
            check(event.document.version > (versions.put(node, event.document.version) ?: 0)) { "went back" }
        }
    }

    private fun perform(node: Int, output: FleetOutput.Perform) {
        val operation = output.operation
        val controllable = operation is StoreOperation.Transact && operation.writes.size > 1 ||
            operation is StoreOperation.Read && operation.key.startsWith(ConfigCodec.CHANGES)
        if (controlled && controllable) {
            pending += Pending(node, output.id, operation)
        } else {
            execute(node, nodes[node].storeCompleted(output.id, store.apply(operation)))
        }
    }

    /** Checks the invariants that hold for all choices. */
    fun check() {
        repeat(20) { tick() }
        val accepted = results.filterValues { it is ChangeResult.Accepted }.keys
        val lost = results.filterValues { it is ChangeResult.Conflict }.keys
        check(results.size == 2 && accepted.size == 1 && lost.size == 1) { "choices $choices: $results" }
        val version = store.version(ConfigCodec.DOCUMENTS + "counter")
        check(version == 1L) { "choices $choices: version $version" }
        val within = nodes.map { it.documents.single().document.classes.first().target.servedWithinMs }
        val winner = 10L + accepted.single().last().digitToInt()
        check(within.all { it == winner }) { "choices $choices: $within are in force, $winner was accepted" }
    }

    private companion object {
        const val STEPS = 200
    }
}
