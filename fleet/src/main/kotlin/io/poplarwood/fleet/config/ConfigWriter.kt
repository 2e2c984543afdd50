package io.poplarwood.fleet.config

import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.fleet.FleetEvent
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.recovery.Backoff
import io.poplarwood.fleet.store.StoreAnswer
import io.poplarwood.fleet.store.StoreOperation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Writes operators' changes. One transaction is under way at a time; requests that arrive meanwhile share the next.
 *
 * A transaction is conditional on the head row, so a repeated one cannot be applied twice, and the change row tells
 * whether a transaction whose answer was lost was applied.
 */
internal class ConfigWriter(
    private val ctx: NodeContext,
    private val state: ConfigState,
    private val behind: () -> Boolean,
    private val readHead: () -> Unit,
    private val committed: (PendingBatch) -> Unit,
) {
    private val queue = ArrayDeque<PendingChange>()
    private val backoff = Backoff(ctx.random, base = 100.milliseconds, cap = 1.seconds)
    private var pending: PendingBatch? = null
    private var view: FleetView? = null
    private var startedAt = Duration.ZERO
    private var nextAt = Duration.ZERO

    /** Transactions that lost against another entry's. */
    var conflicts = 0
        private set

    /** Queues [request]; its outcome follows as [FleetEvent.ChangeSettled]. */
    fun submit(request: ChangeRequest) {
        val faults = DocumentCheck.faults(request.document)
        when {
            faults.isNotEmpty() -> settle(request, ChangeResult.Invalid(faults))
            queue.size >= MAX_QUEUE -> settle(request, ChangeResult.Overloaded)
            else -> queue.addLast(PendingChange(request, ctx.now))
        }
        if (request.expectedVersion > state.version(request.document.service)) readHead()
        pump()
    }

    /** Writes [next] as the view, unless another entry changes it first. */
    fun submitView(next: FleetView) {
        view = next
        pump()
    }

    fun tick(now: Duration) {
        if (pending == null) expire(now)
        pump()
    }

    private fun expire(now: Duration) {
        queue.filter { now - it.since >= GIVE_UP }.forEach { settle(it.request, ChangeResult.StoreUnavailable) }
        queue.removeAll { now - it.since >= GIVE_UP }
    }

    private fun pump() {
        val now = ctx.now
        val known = state.applied >= 0 && !behind()
        if (pending != null || now < nextAt || !known) return
        val taken = take(now)
        val nextView = view?.takeIf { it.version == (state.view?.version ?: 0) + 1 }
        view = null
        if (taken.isEmpty() && nextView == null) return
        val started = PendingBatch(batch(taken, nextView), taken)
        pending = started
        startedAt = now
        nextAt = now + MIN_INTERVAL
        put(started, 0)
    }

    /** Requests for the next transaction: one per service, in order of arrival; those that lost are answered. */
    private fun take(now: Duration): List<PendingChange> {
        val taken = LinkedHashMap<String, PendingChange>()
        val left = ArrayList<PendingChange>()
        for (change in queue) {
            val service = change.request.document.service
            val current = state.version(service)
            val expected = change.request.expectedVersion
            when {
                expected < current -> lost(change)
                expected > current && now - change.since >= AHEAD_FOR -> lost(change)
                expected > current || service.value in taken || taken.size >= MAX_CHANGES -> left += change
                else -> taken[service.value] = change
            }
        }
        queue.clear()
        queue.addAll(left)
        return taken.values.toList()
    }

    private fun lost(change: PendingChange) {
        val winner = state[change.request.document.service]
        val differences = DocumentDiff.between(change.request.document, winner?.document)
        settle(change.request, ChangeResult.Conflict(winner, differences))
    }

    private fun batch(taken: List<PendingChange>, nextView: FleetView?): ChangeBatch {
        val atMs = ctx.clock.now().toEpochMilliseconds()
        val changes = taken.map { c ->
            val r = c.request
            val bytes = ConfigCodec.encodeDocument(r.document)
            val digest = if (bytes.size > ConfigCodec.MAX_INLINE_BYTES) ConfigCodec.digest(bytes) else null
            val version = r.expectedVersion + 1
            ConfigChange(r.document.service, version, r.changeId, r.who, atMs, r.document, digest)
        }
        val id = "${ctx.self}-${ctx.random.nextLong().toULong()}"
        return ChangeBatch(state.applied + 1, id, changes, nextView)
    }

    private fun put(p: PendingBatch, index: Int) {
        val (name, bytes) = p.objects.getOrNull(index) ?: return transact(p)
        ctx.store(StoreOperation.Put(name, bytes), urgent = true) { answer ->
            if (answer is StoreAnswer.Applied) put(p, index + 1) else later(p) { put(p, index) }
        }
    }

    private fun transact(p: PendingBatch) {
        ctx.store(StoreOperation.Transact(p.writes()), urgent = true) { answer ->
            val failure = (answer as? StoreAnswer.Failed)?.failure
            when {
                answer is StoreAnswer.Applied -> commit(p)
                failure is StoreFailure.Conflict && !p.ambiguous -> again(p)
                failure is StoreFailure.Conflict -> readBack(p)
                failure == StoreFailure.AnswerLost || failure is StoreFailure.Malformed -> {
                    p.ambiguous = true
                    readBack(p)
                }
                else -> later(p) { transact(p) }
            }
        }
    }

    /** The change row tells which transaction has the sequence. */
    private fun readBack(p: PendingBatch) {
        ctx.store(StoreOperation.Read(ConfigCodec.changeKey(p.batch.sequence)), urgent = true) { answer ->
            val row = (answer as? StoreAnswer.ReadRow)?.row
            when {
                answer !is StoreAnswer.ReadRow -> later(p) { readBack(p) }
                row == null -> later(p) { transact(p) }
                ConfigCodec.decodeBatch(row.value)?.batchId == p.batch.batchId -> commit(p)
                else -> again(p)
            }
        }
    }

    private fun commit(p: PendingBatch) {
        pending = null
        backoff.succeeded()
        state.apply(p.batch)
        committed(p)
        pump()
    }

    /** Another transaction has the sequence: the requests are checked against it and tried again. */
    private fun again(p: PendingBatch) {
        conflicts++
        pending = null
        p.requests.asReversed().forEach(queue::addFirst)
        nextAt = ctx.now + CONFLICT_PAUSE * ctx.random.nextDouble()
        readHead()
    }

    private val delayed = ArrayDeque<Pair<Duration, () -> Unit>>()

    private fun later(p: PendingBatch, step: () -> Unit) {
        if (ctx.now - startedAt >= GIVE_UP) return abandon(p)
        delayed.addLast(ctx.now + backoff.failed() to step)
    }

    /** Runs the steps whose backoff has ended. */
    fun resume(now: Duration) {
        val due = delayed.filter { it.first <= now }
        delayed.removeAll(due)
        due.forEach { it.second() }
    }

    private fun abandon(p: PendingBatch) {
        pending = null
        val result = if (p.ambiguous) ChangeResult.Unknown else ChangeResult.StoreUnavailable
        p.requests.forEach { settle(it.request, result) }
        readHead()
    }

    private fun settle(request: ChangeRequest, result: ChangeResult) =
        ctx.tell(FleetEvent.ChangeSettled(request.changeId, result))

    private companion object {
        const val MAX_QUEUE = 2_048
        const val MAX_CHANGES = 40
        val MIN_INTERVAL = 100.milliseconds
        val CONFLICT_PAUSE = 300.milliseconds

        /** Time for which a change waits for the version that its operator saw to arrive here. */
        val AHEAD_FOR = 1.seconds

        /** Time after which an operator is told that the store did not take the change. */
        val GIVE_UP = 10.seconds
    }
}
