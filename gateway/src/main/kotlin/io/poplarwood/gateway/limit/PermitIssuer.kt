package io.poplarwood.gateway.limit

import io.poplarwood.gateway.counter.SlidingWindowCounter
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Issues permits to send requests at a rate that many senders share. Each key [K] has its own rate and is issued by a
 * single issuer at a time.
 *
 * The permits of a key come from a token bucket, which is empty when this issuer takes over. Besides, the permits of
 * any time window keep to an allowance, together with what all senders are known to have sent: so a rate that has just
 * been lowered, or that another issuer has just spent, is not exceeded. The more urgent request is served first, then
 * the earlier one.
 *
 * @param requestLifetime time after which a request lapses unless it is repeated
 */
internal class PermitIssuer<K>(private val requestLifetime: () -> Duration) {
    private class Account(now: Duration) {
        val bucket = TokenBucket(now)
        val requests = ArrayList<PermitRequest>()

        /** Permits that may not have shown up among the sends yet. */
        val unseen = SlidingWindowCounter(PermitPool.LIFETIME, UNSEEN_BUCKETS)
        var usedAt = now
    }

    private val accounts = HashMap<K, Account>()

    /** Adds [request] for permits of [key]. It replaces an earlier one of the same asker. */
    fun add(key: K, request: PermitRequest, now: Duration) {
        val account = accounts.getOrPut(key) { Account(now) }
        account.usedAt = now
        val previous = account.requests.firstOrNull { it.asker == request.asker }
        if (previous != null) account.requests -= previous
        account.requests += if (previous == null) request else request.copy(waitsSince = previous.waitsSince)
        accounts.values.removeIf { now - it.usedAt > RETENTION }
    }

    /**
     * Issues the permits of [key] that are due.
     *
     * @param perSecond the rate of the key
     * @param recentSends number of requests that all senders have sent lately
     */
    fun issue(key: K, perSecond: Double, recentSends: Int, now: Duration): List<IssuedPermits> {
        val account = accounts[key] ?: return emptyList()
        account.requests.removeIf { now - it.renewedAt > requestLifetime() }
        val issued = ArrayList<IssuedPermits>()
        while (account.requests.isNotEmpty() && mayIssue(account, perSecond, recentSends, now)) {
            issued += issueOne(account)
            account.unseen.add(now)
        }
        return issued.groupBy { it.asker to it.priority }.values.map { it.first().copy(count = it.size) }
    }

    private fun mayIssue(account: Account, perSecond: Double, recentSends: Int, now: Duration): Boolean =
        recentSends + account.unseen.sum(now) + 1 <= perSecond * ALLOWED_S + ALLOWED_SLACK &&
            account.bucket.tryTake(perSecond, now)

    private fun issueOne(account: Account): IssuedPermits {
        val next = account.requests.minWith(compareBy<PermitRequest> { it.priority }.thenBy { it.waitsSince })
        account.requests -= next
        if (next.count > 1) account.requests += next.copy(count = next.count - 1)
        return IssuedPermits(next.asker, next.priority, 1)
    }

    /** Time after which permits of [key] may be due; null when nobody waits for one. */
    fun nextIssueIn(key: K, perSecond: Double, now: Duration): Duration? {
        val account = accounts[key]?.takeIf { it.requests.isNotEmpty() } ?: return null
        val untilToken = account.bucket.timeUntilToken(perSecond, now)
        // With a token at hand, the allowance of the window is used up.
        return if (untilToken == Duration.ZERO) WINDOW_POLL_INTERVAL else maxOf(untilToken, MIN_INTERVAL)
    }

    /** Whether anyone waits for permits of [key]. */
    fun hasRequests(key: K): Boolean = accounts[key]?.requests?.isNotEmpty() ?: false

    /** Forgets everything about [key], which another issuer serves from now on. */
    fun release(key: K) {
        accounts.remove(key)
    }

    private companion object {
        /**
         * Seconds of the rate, and number of requests besides, that may be sent within the time that recent sends
         * cover. Less than an upstream tolerates in four seconds: one and a half times its rate, and five more.
         */
        const val ALLOWED_S = 5.5
        const val ALLOWED_SLACK = 3
        const val UNSEEN_BUCKETS = 5
        val MIN_INTERVAL = 5.milliseconds
        val WINDOW_POLL_INTERVAL = 50.milliseconds

        /** Time after which a key that nobody asks for is forgotten. */
        val RETENTION = 10.seconds
    }
}
