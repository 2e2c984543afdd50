package io.poplarwood.peer.link

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/**
 * Frames on their way to the entry at one address, in order, over whatever link there is.
 *
 * The queue is bounded in frames and bytes. When the entry cannot be reached, all that waits is dropped: it would be
 * stale once the entry can be.
 */
internal class SendQueue(
    private val maxFrames: Int,
    private val maxBytes: Int,
    private val dial: suspend () -> Link?,
    private val redialPause: () -> Duration,
    private val dropped: (Rejection) -> Unit,
) {
    private class Queued(val body: ByteArray, val bulk: Boolean)

    private val queue = Channel<Queued>(maxFrames)
    private val bytes = AtomicInteger()
    private val bulk = Semaphore(MAX_BULK)

    @Volatile
    private var link: Link? = null

    /** The link in use; null when there is none. */
    fun current(): Link? = link?.takeIf { it.open }

    /** Uses [accepted] from now on, unless there is a link already. */
    fun attach(accepted: Link) {
        if (current() == null) link = accepted
    }

    /** Queues [body]; returns false when it was dropped because the queue is full. */
    fun offer(body: ByteArray): Boolean {
        val fits = bytes.addAndGet(body.size) <= maxBytes && queue.trySend(Queued(body, bulk = false)).isSuccess
        if (!fits) {
            bytes.addAndGet(-body.size)
            dropped(Rejection.QUEUE_FULL)
        }
        return fits
    }

    /** Queues part of a body, waiting while [MAX_BULK] parts wait already. */
    suspend fun put(body: ByteArray) {
        bulk.acquire()
        bytes.addAndGet(body.size)
        queue.send(Queued(body, bulk = true))
    }

    /** Opens a link even though there is nothing to send. */
    fun wake() {
        offer(Link.BEAT)
    }

    /** Sends what is queued, until cancelled. */
    suspend fun pump() {
        while (true) {
            val next = queue.receive()
            done(next)
            val open = current() ?: dial()?.also { link = it }
            if (open == null) {
                dropAll()
                delay(redialPause())
            } else if (!open.write(next.body, message = next.body !== Link.BEAT)) {
                dropped(Rejection.UNREACHABLE)
            }
        }
    }

    private fun dropAll() {
        dropped(Rejection.UNREACHABLE)
        while (true) {
            done(queue.tryReceive().getOrNull() ?: return)
            dropped(Rejection.UNREACHABLE)
        }
    }

    private fun done(queued: Queued) {
        bytes.addAndGet(-queued.body.size)
        if (queued.bulk) bulk.release()
    }

    private companion object {
        const val MAX_BULK = 64
    }
}
