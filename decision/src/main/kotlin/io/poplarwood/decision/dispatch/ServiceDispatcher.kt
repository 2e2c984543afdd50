package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.random.Randomness
import io.poplarwood.api.time.Ticker
import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.decision.admission.Admission
import io.poplarwood.decision.admission.ClassQueue
import io.poplarwood.decision.admission.SlotAccount
import io.poplarwood.decision.admission.WaitingCall
import io.poplarwood.decision.explain.ExplainLog
import io.poplarwood.decision.explain.ExplainRecord
import io.poplarwood.decision.retry.RetryBudget
import io.poplarwood.decision.retry.RetryDecision
import io.poplarwood.decision.retry.RetryPolicy
import io.poplarwood.decision.retry.ShedMonitor
import io.poplarwood.decision.retry.answered
import io.poplarwood.decision.routing.AttemptEvidence
import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.decision.routing.Router
import io.poplarwood.decision.routing.SlotMessage
import io.poplarwood.decision.routing.UpstreamView
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The dispatcher of one service: a queue per class in front of a [Router].
 *
 * @param emit receives the decisions, in order
 */
class ServiceDispatcher(
    private var document: ServiceDocument,
    private val settings: DispatcherSettings,
    private val ticker: Ticker,
    random: Randomness,
    private val router: Router,
    explain: ExplainLog,
    private val emit: (Command) -> Unit,
) : Dispatcher {
    private val account = SlotAccount(settings, random.nextDouble())
    private val admission = Admission(settings, account, random)
    private val shed = ShedMonitor(settings.shedThreshold)
    private val retries = RetryPolicy(settings, shed, random)
    private val queues = LinkedHashMap<ClassName, ClassQueue>()
    private val calls = HashMap<CallId, WaitingCall>()
    private val delayed = ArrayList<WaitingCall>()
    private val waiting = IntArray(Rank.entries.size)
    private val notes = ExplainNotes(explain)
    private val slots = SlotAssignment(router, account, ticker)
    private var assigning = false
    private var assignAgain = false

    init {
        configure(document)
    }

    override fun offer(call: Call) {
        val now = ticker.now()
        val queue = queues[call.workClass]
        if (queue == null) {
            emit(Command.Refuse(call.id, Refusal(RefusalReason.UNKNOWN_CLASS)))
            return
        }
        val wait = admission.estimatedWait(queue, queues.values)
        val row = WaitingCall(call, queue, recordOf(call, queue, wait))
        row.queuedAt = now
        calls[call.id] = row
        val refusal = admission.refusal(call, queue, wait, now)
        if (refusal != null) {
            refuse(row, refusal)
            return
        }
        queue.calls.addLast(row)
        assign()
    }

    override fun finished(call: CallId, attempt: Int, evidence: AttemptEvidence) {
        val row = calls[call] ?: return
        val slot = row.slot
        if (slot == null || attempt != row.history.attempts) return
        val now = ticker.now()
        row.slot = null
        router.release(slot, evidence)
        account.ended(row, now)
        row.history.ended(evidence.result)
        notes.ended(row, evidence.result, now)
        learn(row, evidence.result, now)
        if (row.cancelled) forget(row, CANCELLED) else settle(row, now)
        assign()
    }

    override fun cancel(call: CallId) {
        val row = calls[call] ?: return
        row.cancelled = true
        if (row.running) return
        row.queue.calls.remove(row)
        delayed.remove(row)
        forget(row, CANCELLED)
        assign()
    }

    override fun receive(from: EntryRef, message: SlotMessage) {
        router.receive(from, message)
        account.limits(router.table())
        assign()
    }

    override fun configure(document: ServiceDocument) {
        this.document = document
        for (spec in document.classes) {
            val known = queues[spec.name]
            if (known != null) known.spec = spec else queues[spec.name] = ClassQueue(spec, newBudget())
        }
        // A class that is gone keeps its row until its last call has ended.
        val named = document.classes.mapTo(HashSet()) { it.name }
        queues.entries.removeIf { (name, q) -> name !in named && q.calls.isEmpty() && q.inUse == 0 }
    }

    override fun upstreams(list: ImmutableList<UpstreamView>) {
        router.upstreams(list)
        account.limits(router.table())
        assign()
    }

    override fun entries(list: ImmutableList<EntryRef>) {
        router.entries(list)
        assign()
    }

    override fun tick() {
        val now = ticker.now()
        router.tick()
        account.limits(router.table())
        account.advance(queues.values, now)
        expire(now)
        resume(now)
        assign()
    }

    private fun newBudget() = RetryBudget(settings.retryShare, settings.retryFloorPerSecond, ticker.now())

    private fun learn(row: WaitingCall, result: AttemptResult, now: Duration) {
        shed.record(result == AttemptResult.BUSY)
        if (!result.answered) return
        row.queue.serviceTime.record(now - row.dispatchedAt)
        if (result == AttemptResult.ANSWERED) row.queue.budget.succeeded()
    }

    private fun settle(row: WaitingCall, now: Duration) {
        when (val next = retries.decide(row.call, row.history, row.queue.budget, now)) {
            RetryDecision.Done -> {
                forget(row, COMPLETED)
                emit(Command.Complete(row.call.id))
            }
            is RetryDecision.GiveUp -> refuse(row, refusalOf(next.reason, row))
            is RetryDecision.Again -> {
                row.retry = next.reason
                row.queuedAt = now
                row.readyAt = now + next.delay
                if (next.delay > Duration.ZERO) delayed += row else row.queue.calls.addFirst(row)
            }
        }
    }

    private fun refusalOf(reason: RefusalReason, row: WaitingCall): Refusal {
        val wait = admission.estimatedWait(row.queue, queues.values)
        return Refusal(reason, admission.retryAfter(wait))
    }

    /** Refuses at once what can no longer end before its deadline. */
    private fun expire(now: Duration) {
        for (q in queues.values) {
            for (row in q.removeIf { it.call.deadline - now <= q.serviceTime.fast }) refuseLate(row)
        }
        val late = delayed.filter { it.call.deadline - now <= it.queue.serviceTime.fast }
        delayed.removeAll(late)
        for (row in late) refuseLate(row)
    }

    private fun refuseLate(row: WaitingCall) {
        val reason = if (row.history.mayHaveRun) RefusalReason.DEADLINE_WHILE_RUNNING else RefusalReason.WAIT_TOO_LONG
        refuse(row, refusalOf(reason, row))
    }

    private fun resume(now: Duration) {
        if (delayed.isEmpty()) return
        val ready = delayed.filter { it.readyAt <= now }
        delayed.removeAll(ready)
        for (row in ready) row.queue.calls.addFirst(row)
    }

    /** Gives out slots until no waiting call can use one. A command may call back before it returns. */
    private fun assign() {
        assignAgain = true
        if (assigning) return
        assigning = true
        try {
            while (assignAgain) {
                assignAgain = false
                slots.assign(queues.values, ::dispatch, ::refuseNoUpstream)
            }
        } finally {
            assigning = false
        }
        slots.countWaiting(queues.values, waiting)
        router.backlog(waiting)
    }

    private fun dispatch(granted: SlotGrant) {
        val row = granted.row
        notes.dispatched(granted)
        emit(Command.Dispatch(row.call.id, row.history.attempts, granted.upstream, row.retry))
    }

    private fun refuseNoUpstream(row: WaitingCall) {
        val reason = when {
            row.history.mayHaveRun -> retries.giveUp(row.call, row.history).reason
            else -> RefusalReason.NO_UPSTREAM
        }
        refuse(row, Refusal(reason, admission.retryAfter(settings.noUpstreamRetryAfter)))
    }

    private fun refuse(row: WaitingCall, refusal: Refusal) {
        row.record = row.record.copy(retryAfterMs = refusal.retryAfter?.toDouble(DurationUnit.MILLISECONDS))
        forget(row, refusal.reason.wire)
        emit(Command.Refuse(row.call.id, refusal))
    }

    private fun forget(row: WaitingCall, outcome: String) {
        calls.remove(row.call.id)
        notes.closed(row, outcome)
    }

    private fun recordOf(call: Call, queue: ClassQueue, wait: Duration) = ExplainRecord(
        call.request,
        document.service,
        call.workClass,
        queue.spec.rank,
        wait.toDouble(DurationUnit.MILLISECONDS),
        queue.calls.size,
    )

    private companion object {
        const val COMPLETED = "completed"
        const val CANCELLED = "cancelled"
    }
}
