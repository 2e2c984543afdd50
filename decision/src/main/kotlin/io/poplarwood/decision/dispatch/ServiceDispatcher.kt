package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.decision.admission.Admission
import io.poplarwood.decision.admission.ClassQueue
import io.poplarwood.decision.admission.LatencyNormalizer
import io.poplarwood.decision.admission.PendingCall
import io.poplarwood.decision.admission.SlotAccount
import io.poplarwood.decision.budget.ProbeBudget
import io.poplarwood.decision.budget.ProbeSelector
import io.poplarwood.decision.crash.CrashTable
import io.poplarwood.decision.explain.ExplainLog
import io.poplarwood.decision.retry.RetryBudget
import io.poplarwood.decision.retry.RetryDecision
import io.poplarwood.decision.retry.RetryPolicy
import io.poplarwood.decision.retry.ShedMonitor
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.decision.routing.LeaseMessage
import io.poplarwood.decision.routing.Router
import io.poplarwood.decision.routing.UpstreamView
import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration

/**
 * Dispatcher of one service: one queue per class in front of a [Router].
 *
 * @param crashes suspicions shared by all dispatchers of an entry, which also merges its peers' reports into them
 * @param measuring this entry's share of the probe budget; null for no probes
 * @param emit receives the commands in order
 */
class ServiceDispatcher(
    private var document: ServiceDocument,
    private val settings: DispatcherSettings,
    private val ticker: Ticker,
    random: RandomSource,
    private val router: Router,
    explain: ExplainLog,
    crashes: CrashTable = CrashTable(),
    measuring: ProbeBudget? = null,
    private val emit: (Command) -> Unit,
) : Dispatcher {
    private val account = SlotAccount(settings, random.nextDouble())
    private val admission = Admission(settings, account, random)
    private val shedMonitor = ShedMonitor(settings.shedThreshold)
    private val retries = RetryPolicy(settings, shedMonitor, random)
    private val queues = LinkedHashMap<ClassName, ClassQueue>()
    private val calls = HashMap<CallId, PendingCall>()
    private val delayed = ArrayList<PendingCall>()
    private val waitingByRank = IntArray(Rank.entries.size)
    private val prober = Prober(measuring, ProbeSelector(random), emit)
    private val crashGuard = CrashGuard(crashes, emit)
    private val explainRecorder = ExplainRecorder(explain)
    private val slotAssignment = SlotAssignment(router, account, ticker, ::holdForCrash)
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
        val pending = PendingCall(call, queue, explainRecorder.newRecord(document.service, call, queue, wait))
        pending.queuedAt = now
        calls[call.id] = pending
        val refusal = admission.refusal(call, queue, wait, now)
        if (refusal != null) {
            queue.recentRefusals++
            refuse(pending, refusal)
            return
        }
        if (crashGuard.heldUntil(pending, now)?.isInfinite() == true) {
            refuseSuspect(pending, now)
            return
        }
        queue.calls.addLast(pending)
        assign()
    }

    override fun attemptEnded(call: CallId, attempt: Int, evidence: AttemptObservation) {
        val pending = calls[call] ?: return
        val slot = pending.slot
        if (slot == null || attempt != pending.history.attempts) return
        val now = ticker.now()
        pending.slot = null
        prober.recordObservation(pending.tried.last(), now)
        router.release(slot, LatencyNormalizer.normalize(evidence, pending.queue, queues.values))
        account.recordEnd(pending, now)
        pending.history.recordEnd(evidence.result)
        explainRecorder.recordEnd(pending, evidence.result, now)
        shedMonitor.record(evidence.result == AttemptResult.BUSY)
        pending.queue.recordEnd(pending, evidence.result, now)
        updateSuspicions(pending, evidence.result, now)
        if (pending.cancelled) removeCall(pending, CANCELLED) else completeOrRetry(pending, now)
        assign()
    }

    override fun cancel(call: CallId) {
        val pending = calls[call] ?: return
        pending.cancelled = true
        if (pending.running) return
        pending.queue.calls.remove(pending)
        delayed.remove(pending)
        removeCall(pending, CANCELLED)
        assign()
    }

    override fun receive(from: EntryRef, message: LeaseMessage) {
        router.receive(from, message)
        account.update(router.snapshot())
        assign()
    }

    override fun configure(document: ServiceDocument) {
        this.document = document
        router.pauseAutomation(document.automationPaused)
        for (spec in document.classes) {
            val knownQueue = queues[spec.name]
            val budget = RetryBudget(settings.retryShare, settings.minRetriesPerSecond, ticker.now())
            if (knownQueue != null) knownQueue.spec = spec else queues[spec.name] = ClassQueue(spec, budget)
        }
        // A class that was removed from the document keeps its queue until its last call has ended.
        val classNames = document.classes.mapTo(HashSet()) { it.name }
        queues.entries.removeIf { (name, queue) -> name !in classNames && queue.calls.isEmpty() && queue.inUse == 0 }
    }

    override fun updateUpstreams(list: ImmutableList<UpstreamView>) {
        router.updateUpstreams(list)
        account.update(router.snapshot())
        assign()
    }

    override fun updateEntries(list: ImmutableList<EntryRef>) {
        router.updateEntries(list)
        assign()
    }

    override fun tick() {
        val now = ticker.now()
        router.tick()
        val upstreamRows = router.snapshot()
        account.update(upstreamRows)
        prober.tick(upstreamRows, document.probesPerSecond, now)
        account.advance(queues.values, now)
        refuseExpired(now)
        requeueReady(now)
        assign()
    }

    private fun updateSuspicions(pending: PendingCall, result: AttemptResult, now: Duration) {
        if (!crashGuard.recordEnd(pending, result, now)) return
        for (heldCall in delayed) if (heldCall.heldForCrash) heldCall.readyAt = now
        requeueReady(now)
    }

    private fun refuseSuspect(pending: PendingCall, now: Duration) {
        val reason = when {
            pending.history.mayHaveRun -> retries.giveUp(pending.call, pending.history).reason
            else -> RefusalReason.CRASH_SUSPECT
        }
        refuse(pending, Refusal(reason, admission.retryAfter(crashGuard.retryAfter(pending, now))))
    }

    /** Removes [pending] from its queue when suspicions keep it from running now; returns true if it did. */
    private fun holdForCrash(pending: PendingCall): Boolean {
        val now = ticker.now()
        val until = crashGuard.heldUntil(pending, now) ?: return false
        pending.queue.calls.remove(pending)
        if (until.isInfinite()) {
            refuseSuspect(pending, now)
            return true
        }
        pending.readyAt = until
        pending.heldForCrash = true
        delayed += pending
        return true
    }

    private fun completeOrRetry(pending: PendingCall, now: Duration) {
        when (val decision = retries.decide(pending.call, pending.history, pending.queue.budget, now)) {
            RetryDecision.Done -> {
                removeCall(pending, COMPLETED)
                emit(Command.Complete(pending.call.id))
            }
            is RetryDecision.GiveUp -> refuse(pending, refusalOf(decision.reason, pending))
            is RetryDecision.Retry -> {
                if (crashGuard.heldUntil(pending, now)?.isInfinite() == true) return refuseSuspect(pending, now)
                pending.retry = decision.reason
                pending.queuedAt = now
                pending.readyAt = now + decision.delay
                if (decision.delay > Duration.ZERO) delayed += pending else pending.queue.calls.addFirst(pending)
            }
        }
    }

    private fun refusalOf(reason: RefusalReason, pending: PendingCall): Refusal {
        val wait = admission.estimatedWait(pending.queue, queues.values)
        // A resend after the report of the loss has propagated finds every entry informed.
        val minimum = if (reason == RefusalReason.CONNECTION_LOST) crashGuard.propagationTime else Duration.ZERO
        return Refusal(reason, admission.retryAfter(maxOf(wait, minimum)))
    }

    /** Refuses calls that can no longer complete before their deadline. */
    private fun refuseExpired(now: Duration) {
        for (queue in queues.values) {
            for (pending in queue.removeIf { it.call.deadline - now <= queue.serviceTime.shortest }) refuseLate(pending)
        }
        val expired = delayed.filter { it.call.deadline - now <= it.queue.serviceTime.shortest }
        delayed.removeAll(expired)
        for (pending in expired) refuseLate(pending)
    }

    private fun refuseLate(pending: PendingCall) {
        val reason =
            if (pending.history.mayHaveRun) RefusalReason.DEADLINE_WHILE_RUNNING else RefusalReason.WAIT_TOO_LONG
        refuse(pending, refusalOf(reason, pending))
    }

    private fun requeueReady(now: Duration) {
        if (delayed.isEmpty()) return
        val ready = delayed.filter { it.readyAt <= now }
        delayed.removeAll(ready)
        for (pending in ready) {
            pending.heldForCrash = false
            pending.queue.calls.addFirst(pending)
        }
    }

    /**
     * Assigns slots until no waiting call can use one. A command may call back into this function before it returns.
     */
    private fun assign() {
        assignAgain = true
        if (assigning) return
        assigning = true
        try {
            while (assignAgain) {
                assignAgain = false
                slotAssignment.assign(queues.values, ::dispatch, ::refuseNoUpstream)
            }
        } finally {
            assigning = false
        }
        slotAssignment.countWaiting(queues.values, waitingByRank)
        router.updateBacklog(waitingByRank)
    }

    private fun dispatch(grant: SlotGrant) {
        val pending = grant.pending
        explainRecorder.recordDispatch(grant)
        crashGuard.recordStart(pending)
        emit(Command.Dispatch(pending.call.id, pending.history.attempts, grant.upstream, pending.retry))
    }

    private fun refuseNoUpstream(pending: PendingCall) {
        val reason = when {
            pending.history.mayHaveRun -> retries.giveUp(pending.call, pending.history).reason
            else -> RefusalReason.NO_UPSTREAM
        }
        refuse(pending, Refusal(reason, admission.retryAfter(settings.noUpstreamRetryAfter)))
    }

    private fun refuse(pending: PendingCall, refusal: Refusal) {
        explainRecorder.recordRefusal(pending, refusal)
        removeCall(pending, refusal.reason.wire)
        emit(Command.Refuse(pending.call.id, refusal))
    }

    private fun removeCall(pending: PendingCall, outcome: String) {
        calls.remove(pending.call.id)
        explainRecorder.recordOutcome(pending, outcome)
    }

    private companion object {
        const val COMPLETED = "completed"
        const val CANCELLED = "cancelled"
    }
}
