package io.poplarwood.peer.link

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/**
 * Sends frames to the entry at one address, in order, over whichever link is open.
 *
 * The queue is bounded in frames and bytes. When no link can be opened, all queued frames are dropped, because they
 * would be stale by the time the entry is reachable again.
 *
 * @param redialDelay delay after a failed attempt to open a link
 * @param onDropped called for each dropped frame
 */
internal class SendQueue(
    private val maxFrames: Int,
    private val maxBytes: Int,
    private val dial: suspend () -> Link?,
    private val redialDelay: () -> Duration,
    private val onDropped: (Rejection) -> Unit,
) {
    private class QueuedFrame(val frameBody: ByteArray, val isBodyPart: Boolean)

    private val queue = Channel<QueuedFrame>(maxFrames)
    private val queuedBytes = AtomicInteger()
    private val bodyPartPermits = Semaphore(MAX_QUEUED_BODY_PARTS)

    @Volatile
    private var link: Link? = null

    /** The link in use; null when none is open. */
    fun openLink(): Link? = link?.takeIf { it.open }

    /** Uses [accepted] for sending unless another link is open. */
    fun adoptLink(accepted: Link) {
        if (openLink() == null) link = accepted
    }

    /** Queues [frameBody]; returns false when the queue is full and the frame was dropped. */
    fun trySend(frameBody: ByteArray): Boolean {
        val fits =
            queuedBytes.addAndGet(frameBody.size) <= maxBytes &&
                queue.trySend(QueuedFrame(frameBody, isBodyPart = false)).isSuccess
        if (!fits) {
            queuedBytes.addAndGet(-frameBody.size)
            onDropped(Rejection.QUEUE_FULL)
        }
        return fits
    }

    /** Queues part of a request or response body; suspends while [MAX_QUEUED_BODY_PARTS] parts are queued. */
    suspend fun sendBodyPart(frameBody: ByteArray) {
        bodyPartPermits.acquire()
        queuedBytes.addAndGet(frameBody.size)
        queue.send(QueuedFrame(frameBody, isBodyPart = true))
    }

    /** Opens a link, if none is open, by queueing a heartbeat. */
    fun requestLink() {
        trySend(Link.HEARTBEAT)
    }

    /** Sends queued frames until cancelled. */
    suspend fun sendQueued() {
        while (true) {
            val next = queue.receive()
            release(next)
            val open = openLink() ?: dial()?.also { link = it }
            if (open == null) {
                dropAll()
                delay(redialDelay())
            } else if (!open.write(next.frameBody, isMessage = next.frameBody !== Link.HEARTBEAT)) {
                onDropped(Rejection.UNREACHABLE)
            }
        }
    }

    private fun dropAll() {
        onDropped(Rejection.UNREACHABLE)
        while (true) {
            release(queue.tryReceive().getOrNull() ?: return)
            onDropped(Rejection.UNREACHABLE)
        }
    }

    private fun release(frame: QueuedFrame) {
        queuedBytes.addAndGet(-frame.frameBody.size)
        if (frame.isBodyPart) bodyPartPermits.release()
    }

    private companion object {
        const val MAX_QUEUED_BODY_PARTS = 64
    }
}
