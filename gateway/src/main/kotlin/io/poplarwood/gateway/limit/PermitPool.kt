package io.poplarwood.gateway.limit

import io.poplarwood.gateway.counter.SlidingWindowCounter
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Permits that this entry has received and not used, by key, and its requests for more. A permit lapses after
 * [LIFETIME]; until half of it has passed, it is only for requests as urgent as the one that it was issued for.
 *
 * @param requestLifetime time after which the issuer drops a request that is not repeated
 * @param count counts what becomes of permits
 */
internal class PermitPool<K>(
    private val requestLifetime: () -> Duration,
    private val count: (PermitEvent) -> Unit = {},
) {
    private class Permit(val priority: Int, val receivedAt: Duration)

    private class Account {
        val permits = ArrayList<Permit>()
        val received = SlidingWindowCounter(RATE_WINDOW, RATE_BUCKETS)
        var askedAt = -Duration.INFINITE
        var askedPriority = Int.MAX_VALUE
    }

    private val accounts = HashMap<K, Account>()

    /** Adds [number] permits of [key] for requests at least as urgent as [priority]. */
    fun add(key: K, priority: Int, number: Int, now: Duration) {
        val account = accounts.getOrPut(key) { Account() }
        account.askedAt = -Duration.INFINITE
        repeat(number) {
            count(PermitEvent.RECEIVED)
            account.received.add(now)
            account.permits += Permit(priority, now)
        }
    }

    /** Whether a request of [priority] may use a permit of [key]. */
    fun has(key: K, priority: Int, now: Duration): Boolean = find(key, priority, now) != null

    /** Uses a permit of [key] for a request of [priority]; returns false when there is none. */
    fun take(key: K, priority: Int, now: Duration): Boolean {
        val permit = find(key, priority, now) ?: return false
        accounts.getValue(key).permits -= permit
        count(PermitEvent.USED)
        return true
    }

    private fun find(key: K, priority: Int, now: Duration): Permit? {
        val account = accounts[key] ?: return null
        account.permits.removeIf {
            (now - it.receivedAt > LIFETIME).also { lapsed ->
                if (lapsed) count(PermitEvent.LAPSED)
            }
        }
        return account.permits.firstOrNull { priority <= it.priority || now - it.receivedAt > LIFETIME / 2 }
    }

    /** Whether it is useful to ask for a permit of [key] for a request of [priority]. */
    fun shouldAsk(key: K, priority: Int, now: Duration): Boolean {
        if (has(key, priority, now)) return false
        val account = accounts[key] ?: return true
        return now - account.askedAt > requestLifetime() || priority < account.askedPriority
    }

    /** Records that a permit of [key] was asked for. */
    fun recordAsked(key: K, priority: Int, now: Duration) {
        count(PermitEvent.ASKED)
        val account = accounts.getOrPut(key) { Account() }
        account.askedAt = now
        account.askedPriority = priority
    }

    /** When the last request for a permit of [key] was made that is not answered yet; null if there is none. */
    fun unansweredSince(key: K): Duration? = accounts[key]?.askedAt?.takeIf { it.isFinite() }

    /** Permits of [key] that were received per second lately. */
    fun receivedPerSecond(key: K, now: Duration): Double {
        val account = accounts[key] ?: return 0.0
        return account.received.sum(now) / RATE_WINDOW.toDouble(DurationUnit.SECONDS)
    }

    companion object {
        /** Time after which an unused permit lapses. */
        val LIFETIME: Duration = 500.milliseconds
        private val RATE_WINDOW = 2.seconds
        private const val RATE_BUCKETS = 8
    }
}
