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
import io.poplarwood.decision.admission.LatencyScale
import io.poplarwood.decision.admission.SlotAccount
import io.poplarwood.decision.admission.WaitingCall
import io.poplarwood.decision.budget.MeasuringBudget
import io.poplarwood.decision.budget.ProbeSelector
import io.poplarwood.decision.crash.CrashTable
import io.poplarwood.decision.explain.ExplainLog
import io.poplarwood.decision.retry.RetryBudget
import io.poplarwood.decision.retry.RetryDecision
import io.poplarwood.decision.retry.RetryPolicy
import io.poplarwood.decision.retry.ShedMonitor
import io.poplarwood.decision.routing.AttemptEvidence
import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.decision.routing.Router
import io.poplarwood.decision.routing.SlotMessage
import io.poplarwood.decision.routing.UpstreamView
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration

/**
 * The dispatcher of one service: a queue per class in front of a [Router].
 *
 * @param crashes suspicions, shared by the dispatchers of an entry, which also merges peers' news into it
 * @param measuring this entry's share of the measuring budget; null for no probes
 * @param emit receives the decisions, in order
 */
class ServiceDispatcher(
    private var document: ServiceDocument,
    private val settings: DispatcherSettings,
    private val ticker: Ticker,
    random: Randomness,
    private val router: Router,
    explain: ExplainLog,
    crashes: CrashTable = CrashTable(),
    measuring: MeasuringBudget? = null,
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
    private val prober = Prober(measuring, ProbeSelector(random), emit)
    private val guard = CrashGuard(crashes, emit)
    private val notes = ExplainNotes(explain)
    private val slots = SlotAssignment(router, account, ticker, ::hold)
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
        val row = WaitingCall(call, queue, notes.opened(document.service, call, queue, wait))
        row.queuedAt = now
        calls[call.id] = row
        val refusal = admission.refusal(call, queue, wait, now)
        if (refusal != null) {
            queue.refused++
            refuse(row, refusal)
            return
        }
        if (guard.heldUntil(row, now)?.isInfinite() == true) {
            refuseSuspect(row, now)
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
        prober.heard(row.tried.last(), now)
        router.release(slot, LatencyScale.apply(evidence, row.queue, queues.values))
        account.ended(row, now)
        row.history.ended(evidence.result)
        notes.ended(row, evidence.result, now)
        shed.record(evidence.result == AttemptResult.BUSY)
        row.queue.learn(row, evidence.result, now)
        noteCrash(row, evidence.result, now)
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
        router.pauseAutomation(document.automationPaused)
        for (spec in document.classes) {
            val known = queues[spec.name]
            val budget = RetryBudget(settings.retryShare, settings.retryFloorPerSecond, ticker.now())
            if (known != null) known.spec = spec else queues[spec.name] = ClassQueue(spec, budget)
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
        val rows = router.table()
        account.limits(rows)
        prober.tick(rows, document.probesPerSecond, now)
        account.advance(queues.values, now)
        expire(now)
        resume(now)
        assign()
    }

    private fun noteCrash(row: WaitingCall, result: AttemptResult, now: Duration) {
        if (!guard.ended(row, result, now)) return
        for (held in delayed) if (held.heldForCrash) held.readyAt = now
        resume(now)
    }

    private fun refuseSuspect(row: WaitingCall, now: Duration) {
        val reason = when {
            row.history.mayHaveRun -> retries.giveUp(row.call, row.history).reason
            else -> RefusalReason.CRASH_SUSPECT
        }
        refuse(row, Refusal(reason, admission.retryAfter(guard.retryAfter(row, now))))
    }

    /** Takes [row] out of its queue when crashes keep it from running now; true when it did. */
    private fun hold(row: WaitingCall): Boolean {
        val now = ticker.now()
        val until = guard.heldUntil(row, now) ?: return false
        row.queue.calls.remove(row)
        if (until.isInfinite()) {
            refuseSuspect(row, now)
            return true
        }
        row.readyAt = until
        row.heldForCrash = true
        delayed += row
        return true
    }

    private fun settle(row: WaitingCall, now: Duration) {
        when (val next = retries.decide(row.call, row.history, row.queue.budget, now)) {
            RetryDecision.Done -> {
                forget(row, COMPLETED)
                emit(Command.Complete(row.call.id))
            }
            is RetryDecision.GiveUp -> refuse(row, refusalOf(next.reason, row))
            is RetryDecision.Again -> {
                if (guard.heldUntil(row, now)?.isInfinite() == true) return refuseSuspect(row, now)
                row.retry = next.reason
                row.queuedAt = now
                row.readyAt = now + next.delay
                if (next.delay > Duration.ZERO) delayed += row else row.queue.calls.addFirst(row)
            }
        }
    }

    private fun refusalOf(reason: RefusalReason, row: WaitingCall): Refusal {
        val wait = admission.estimatedWait(row.queue, queues.values)
        // A resend that comes after the news of a lost upstream finds every entry warned.
        val least = if (reason == RefusalReason.CONNECTION_LOST) guard.settle else Duration.ZERO
        return Refusal(reason, admission.retryAfter(maxOf(wait, least)))
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
        for (row in ready) {
            row.heldForCrash = false
            row.queue.calls.addFirst(row)
        }
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
        guard.started(row)
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
        notes.refused(row, refusal)
        forget(row, refusal.reason.wire)
        emit(Command.Refuse(row.call.id, refusal))
    }

    private fun forget(row: WaitingCall, outcome: String) {
        calls.remove(row.call.id)
        notes.closed(row, outcome)
    }

    private companion object {
        const val COMPLETED = "completed"
        const val CANCELLED = "cancelled"
    }
}
