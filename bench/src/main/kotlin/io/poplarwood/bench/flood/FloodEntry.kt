package io.poplarwood.bench.flood

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.time.Ticker
import io.poplarwood.decision.dispatch.Call
import io.poplarwood.decision.dispatch.CallId
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.dispatch.Dispatcher

/** One entry around a real dispatcher, which [create] builds from the function that takes its commands. */
internal class FloodEntry(
    private val self: EntryRef,
    private val traffic: FloodTraffic,
    private val ticker: Ticker,
    create: ((Command) -> Unit) -> Dispatcher,
) {
    private class Open(val call: Call, val work: FloodClass, val tally: ClassTally?)

    private val open = HashMap<CallId, Open>()
    private var calls = 0L
    val dispatcher: Dispatcher = create(::on)

    fun offer(work: FloodClass, tally: ClassTally?) {
        val at = ticker.now()
        val id = CallId(calls++)
        val request = RequestId("$self-${id.value}")
        val call = Call(id, request, work.spec.name, work.spec.idempotent ?: true, at, at + work.spec.deadline)
        if (tally != null) tally.offered++
        open[id] = Open(call, work, tally)
        dispatcher.offer(call)
    }

    private fun on(command: Command) {
        when (command) {
            is Command.Dispatch -> attempt(open.getValue(command.call), command)
            is Command.Refuse -> {
                val row = checkNotNull(open.remove(command.call)) { "answered twice" }
                row.tally?.refused(command.refusal.reason, ticker.now() - row.call.arrived)
            }
            is Command.Complete -> {
                val row = checkNotNull(open.remove(command.call)) { "answered twice" }
                val at = ticker.now()
                if (at <= row.call.deadline) row.tally?.answered(at - row.call.arrived)
            }
            is Command.Send -> traffic.toPeer(command)
            else -> Unit
        }
    }

    private fun attempt(row: Open, command: Command.Dispatch) {
        val tally = row.tally
        if (tally != null) count(tally, command)
        traffic.send(command.upstream, row.work, row.call.deadline) { evidence ->
            dispatcher.attemptEnded(command.call, command.attempt, evidence)
        }
    }

    private fun count(tally: ClassTally, command: Command.Dispatch) {
        tally.attempts++
        if (command.attempt == 1) tally.firstAttempts++
        if (command.retry?.provenNotRun == false) tally.retries++
    }
}
