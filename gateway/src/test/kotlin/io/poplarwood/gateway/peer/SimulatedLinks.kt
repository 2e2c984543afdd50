package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The links of entries in virtual time, one queue out and one in for each entry. Messages take their size over the
 * bandwidth, one after another. A link without a bandwidth is unlimited.
 */
internal class SimulatedLinks(private val ticker: Ticker) {
    /** Bits per second by entry name. */
    val bandwidth = HashMap<String, Long>()

    /** Bytes sent so far by entry name, including those of messages that arrived too late. */
    val sentBytes = HashMap<String, Long>()

    private val outgoingFreeAt = HashMap<String, Duration>()
    private val incomingFreeAt = HashMap<String, Duration>()

    /** Time that [bytes] take on the link of [entry] when nothing else uses it. */
    fun transferTime(entry: String, bytes: Int): Duration =
        bandwidth[entry]?.let { (bytes * BITS / it).seconds } ?: Duration.ZERO

    /** Forgets the messages that wait on the link of [entry], whose process has ended. */
    fun clear(entry: String) {
        outgoingFreeAt -= entry
        incomingFreeAt -= entry
    }

    /** Carries [bytes]; false when that takes longer than [limit]. The receiver reads nothing after [limit]. */
    suspend fun transfer(from: String, to: String, bytes: Int, limit: Duration): Boolean {
        val deadline = ticker.now() + limit
        sentBytes.merge(from, bytes.toLong(), Long::plus)
        val sentAt = maxOf(ticker.now(), outgoingFreeAt[from] ?: Duration.ZERO) + transferTime(from, bytes)
        outgoingFreeAt[from] = sentAt
        return awaitUntil(sentAt, deadline) && receive(to, bytes, deadline - ticker.now())
    }

    /** Carries [bytes] that come from elsewhere to [entry]; false when that takes longer than [limit]. */
    suspend fun receive(entry: String, bytes: Int, limit: Duration): Boolean {
        val deadline = ticker.now() + limit
        val startAt = maxOf(ticker.now(), incomingFreeAt[entry] ?: Duration.ZERO)
        val receivedAt = startAt + transferTime(entry, bytes)
        incomingFreeAt[entry] = minOf(receivedAt, maxOf(startAt, deadline))
        return awaitUntil(receivedAt, deadline)
    }

    private suspend fun awaitUntil(at: Duration, deadline: Duration): Boolean {
        val pause = minOf(at, deadline) - ticker.now()
        if (pause > Duration.ZERO) delay(pause)
        return at <= deadline
    }

    private companion object {
        const val BITS = 8.0
    }
}
