package io.poplarwood.fleet.config

import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.fleet.FleetEvent
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.recovery.Backoff
import io.poplarwood.fleet.store.StoreOperation
import io.poplarwood.fleet.store.StoreResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Writes operators' changes. At most one transaction is in flight; requests that arrive meanwhile are batched into the
 * next one.
 *
 * A transaction is conditional on the version of the head row, so retrying it cannot apply it twice. The change row
 * shows whether a transaction whose answer was lost has been applied.
 */
internal class ConfigWriter(
    private val ctx: NodeContext,
    private val state: ConfigState,
    private val isBehind: () -> Boolean,
    private val readHead: () -> Unit,
    private val onCommitted: (PendingBatch) -> Unit,
) {
    private val queue = ArrayDeque<PendingChange>()
    private val backoff = Backoff(ctx.random, base = 100.milliseconds, cap = 1.seconds)
    private var pending: PendingBatch? = null
    private var view: FleetView? = null
    private var startedAt = Duration.ZERO
    private var nextAt = Duration.ZERO

    /** Number of transactions that failed because another entry had written the same sequence. */
    var conflicts = 0
        private set

    /** Queues [request]; its result is emitted as [FleetEvent.ChangeCompleted]. */
    fun submit(request: ChangeRequest) {
        val faults = DocumentValidator.faults(request.document)
        when {
            faults.isNotEmpty() -> complete(request, ChangeResult.Invalid(faults))
            queue.size >= MAX_QUEUE -> complete(request, ChangeResult.Overloaded)
            else -> queue.addLast(PendingChange(request, ctx.now))
        }
        if (request.expectedVersion > state.version(request.document.service)) readHead()
        startNext()
    }

    /** Writes [next] as the view, unless another entry changes the view first. */
    fun submitView(next: FleetView) {
        view = next
        startNext()
    }

    fun tick(now: Duration) {
        if (pending == null) expireQueued(now)
        startNext()
    }

    private fun expireQueued(now: Duration) {
        queue.filter { now - it.queuedAt >= WRITE_TIMEOUT }
            .forEach { complete(it.request, ChangeResult.StoreUnavailable) }
        queue.removeAll { now - it.queuedAt >= WRITE_TIMEOUT }
    }

    private fun startNext() {
        val now = ctx.now
        val known = state.applied >= 0 && !isBehind()
        if (pending != null || now < nextAt || !known) return
        val selected = selectChanges(now)
        val nextView = view?.takeIf { it.version == (state.view?.version ?: 0) + 1 }
        view = null
        if (selected.isEmpty() && nextView == null) return
        val started = PendingBatch(batch(selected, nextView), selected)
        pending = started
        startedAt = now
        nextAt = now + MIN_INTERVAL
        putObjects(started, 0)
    }

    /**
     * Removes the requests for the next transaction from the queue: one per service, in order of arrival. Completes
     * requests whose expected version has been replaced as conflicts.
     */
    private fun selectChanges(now: Duration): List<PendingChange> {
        val selected = LinkedHashMap<String, PendingChange>()
        val remaining = ArrayList<PendingChange>()
        for (change in queue) {
            val service = change.request.document.service
            val current = state.version(service)
            val expected = change.request.expectedVersion
            when {
                expected < current -> rejectConflict(change)
                expected > current && now - change.queuedAt >= MAX_VERSION_WAIT -> rejectConflict(change)
                expected > current || service.value in selected || selected.size >= MAX_CHANGES -> remaining += change
                else -> selected[service.value] = change
            }
        }
        queue.clear()
        queue.addAll(remaining)
        return selected.values.toList()
    }

    private fun rejectConflict(change: PendingChange) {
        val winner = state[change.request.document.service]
        val differences = DocumentDiff.between(change.request.document, winner?.document)
        complete(change.request, ChangeResult.Conflict(winner, differences))
    }

    private fun batch(selected: List<PendingChange>, nextView: FleetView?): ChangeBatch {
        val atMs = ctx.clock.now().toEpochMilliseconds()
        val changes = selected.map { c ->
            val r = c.request
            val bytes = ConfigCodec.encodeDocument(r.document)
            val digest = if (bytes.size > ConfigCodec.MAX_INLINE_BYTES) ConfigCodec.digest(bytes) else null
            val version = r.expectedVersion + 1
            ConfigChange(r.document.service, version, r.changeId, r.who, atMs, r.document, digest)
        }
        val id = "${ctx.self}-${ctx.random.nextLong().toULong()}"
        return ChangeBatch(state.applied + 1, id, changes, nextView)
    }

    private fun putObjects(p: PendingBatch, index: Int) {
        val (name, bytes) = p.objects.getOrNull(index) ?: return transact(p)
        ctx.perform(StoreOperation.Put(name, bytes), urgent = true) { result ->
            if (result is StoreResult.Applied) putObjects(p, index + 1) else retryLater(p) { putObjects(p, index) }
        }
    }

    private fun transact(p: PendingBatch) {
        ctx.perform(StoreOperation.Transact(p.writes()), urgent = true) { result ->
            val failure = (result as? StoreResult.Failed)?.failure
            when {
                result is StoreResult.Applied -> commit(p)
                failure is StoreFailure.Conflict && !p.ambiguous -> requeue(p)
                failure is StoreFailure.Conflict -> readBack(p)
                failure == StoreFailure.AnswerLost || failure is StoreFailure.Malformed -> {
                    p.ambiguous = true
                    readBack(p)
                }
                else -> retryLater(p) { transact(p) }
            }
        }
    }

    /** Reads the change row, which shows the transaction that was applied under this sequence. */
    private fun readBack(p: PendingBatch) {
        ctx.perform(StoreOperation.Read(ConfigCodec.changeKey(p.batch.sequence)), urgent = true) { result ->
            val row = (result as? StoreResult.ReadRow)?.row
            when {
                result !is StoreResult.ReadRow -> retryLater(p) { readBack(p) }
                row == null -> retryLater(p) { transact(p) }
                ConfigCodec.decodeBatch(row.value)?.batchId == p.batch.batchId -> commit(p)
                else -> requeue(p)
            }
        }
    }

    private fun commit(p: PendingBatch) {
        pending = null
        backoff.reset()
        state.apply(p.batch)
        onCommitted(p)
        startNext()
    }

    /** Another transaction has the sequence: queues the requests again, to be checked against its changes. */
    private fun requeue(p: PendingBatch) {
        conflicts++
        pending = null
        p.requests.asReversed().forEach(queue::addFirst)
        nextAt = ctx.now + MAX_CONFLICT_DELAY * ctx.random.nextDouble()
        readHead()
    }

    private val delayed = ArrayDeque<Pair<Duration, () -> Unit>>()

    private fun retryLater(p: PendingBatch, step: () -> Unit) {
        if (ctx.now - startedAt >= WRITE_TIMEOUT) return abandon(p)
        delayed.addLast(ctx.now + backoff.recordFailure() to step)
    }

    /** Runs the steps whose backoff has expired. */
    fun runDelayed(now: Duration) {
        val due = delayed.filter { it.first <= now }
        delayed.removeAll(due)
        due.forEach { it.second() }
    }

    private fun abandon(p: PendingBatch) {
        pending = null
        val result = if (p.ambiguous) ChangeResult.Unknown else ChangeResult.StoreUnavailable
        p.requests.forEach { complete(it.request, result) }
        readHead()
    }

    private fun complete(request: ChangeRequest, result: ChangeResult) =
        ctx.emit(FleetEvent.ChangeCompleted(request.changeId, result))

    private companion object {
        const val MAX_QUEUE = 2_048
        const val MAX_CHANGES = 40

        /** Minimum time between the starts of two transactions. */
        val MIN_INTERVAL = 100.milliseconds

        /** Upper bound of the random delay after a conflict. */
        val MAX_CONFLICT_DELAY = 300.milliseconds

        /** Time for which a request waits until this entry has the version that the operator changed. */
        val MAX_VERSION_WAIT = 1.seconds

        /** Time after which a change that the store has not accepted fails. */
        val WRITE_TIMEOUT = 10.seconds
    }
}
