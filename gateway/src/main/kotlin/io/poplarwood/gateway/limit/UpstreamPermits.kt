package io.poplarwood.gateway.limit

import io.poplarwood.gateway.upstream.IncarnationId
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides whether this entry may send a request to an upstream that names a rate for all entries together. Each request
 * to such an upstream needs a permit; other upstreams need none.
 *
 * @param ask asks the issuer of an upstream for permits
 * @param sharers number of entries that share the rates
 */
internal class UpstreamPermits(
    private val pool: PermitPool<IncarnationId> = PermitPool({ Duration.ZERO }),
    private val ask: (row: UpstreamRow, priority: Int, count: Int) -> Unit = { _, _, _ -> },
    private val sharers: () -> Int = { 1 },
) {
    /** Whether [row] names a limit. */
    fun isLimited(row: UpstreamRow): Boolean = row.limit.perSecond != null

    /** Whether a request of [priority] may be sent to [row]. */
    fun maySend(row: UpstreamRow, priority: Int, now: Duration): Boolean =
        !isLimited(row) || pool.has(row.incarnation, priority, now)

    /** Records that a request of [priority] is sent to [row], and uses a permit for it where one is needed. */
    fun recordSend(row: UpstreamRow, priority: Int, now: Duration) {
        row.recentSends.add(now)
        if (isLimited(row)) pool.take(row.incarnation, priority, now)
    }

    /**
     * Asks for a permit for a request of [priority] that could be sent to one of [rows], which all name limits. One of
     * them is asked for, so that no more permits are issued than there are requests.
     */
    fun askForOne(rows: List<UpstreamRow>, priority: Int, now: Duration) {
        val row = rows.filter { pool.shouldAsk(it.incarnation, priority, now) }
            .minByOrNull { pool.unansweredSince(it.incarnation) ?: -Duration.INFINITE } ?: return
        pool.recordAsked(row.incarnation, priority, now)
        val rate = checkNotNull(row.limit.rate)
        ask(row, priority, ceil(rate * BATCH_S).toInt().coerceIn(1, MAX_BATCH))
    }

    /**
     * When this entry expects a permit for one of [rows], after those for [ahead] earlier requests. It expects an equal
     * part of their rates, or what it has received lately if that is more.
     */
    fun expectedAt(rows: List<UpstreamRow>, ahead: Int, now: Duration): Duration {
        val askedAt = rows.mapNotNull { pool.unansweredSince(it.incarnation) }.maxOrNull()
        if (ahead == 0 && askedAt != null && now - askedAt < ANSWER_TIME) return askedAt + ANSWER_TIME
        val perSecond = rows.sumOf { row ->
            maxOf((row.limit.rate ?: 0.0) / sharers(), pool.receivedPerSecond(row.incarnation, now))
        }
        return now + 1.seconds * ((ahead + 1) / perSecond)
    }

    private companion object {
        /** Permits of this many seconds are asked for at once, so that high rates need few messages. */
        const val BATCH_S = 0.02
        const val MAX_BATCH = 50

        /** An issuer with a permit at hand answers within this time. */
        val ANSWER_TIME = 30.milliseconds
    }
}
