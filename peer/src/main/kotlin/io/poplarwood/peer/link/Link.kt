package io.poplarwood.peer.link

import io.poplarwood.api.time.Ticker
import io.poplarwood.fleet.message.Peer
import io.poplarwood.peer.message.PeerMessage
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull

/**
 * One authenticated connection to [peer], used in both directions.
 *
 * @param outbound whether this entry opened the connection
 */
internal class Link(
    val peer: Peer,
    private val connection: FrameConnection,
    private val timings: LinkTimings,
    private val ticker: Ticker,
    private val outbound: Boolean,
) {
    private val writeMutex = Mutex()

    @Volatile
    private var lastWriteAt = ticker.now()

    @Volatile
    private var lastMessageAt = ticker.now()

    /** False once the connection has ended. */
    @Volatile
    var open = true
        private set

    /** True when a message was sent or received within the idle timeout; only such a link is replaced when lost. */
    val recentlyUsed: Boolean get() = ticker.now() - lastMessageAt < timings.idleTimeout

    /** Reads frames until the connection ends; returns the reason, or null when the link was closed in order. */
    suspend fun run(onMessage: suspend (Peer, PeerMessage) -> Unit): Rejection? = coroutineScope {
        val heartbeats = launch { sendHeartbeats() }
        try {
            read(onMessage)
        } finally {
            close()
            heartbeats.cancel()
        }
    }

    private suspend fun read(onMessage: suspend (Peer, PeerMessage) -> Unit): Rejection? {
        while (true) {
            var timedOut = true
            val frame = withTimeoutOrNull(timings.silenceTimeout) { connection.read().also { timedOut = false } }
            when {
                timedOut -> return if (open) Rejection.SILENT else null
                frame is LinkFrame.Message -> {
                    lastMessageAt = ticker.now()
                    onMessage(peer, frame.message)
                }
                frame is LinkFrame.Heartbeat -> Unit
                frame == null -> return connection.fault
                else -> return Rejection.MALFORMED
            }
        }
    }

    private suspend fun sendHeartbeats() {
        // The accepting side waits twice as long, so that normally only the dialling side closes an idle link.
        val idleTimeout = if (outbound) timings.idleTimeout else timings.idleTimeout * 2
        while (open) {
            delay(timings.heartbeatInterval / 2)
            val now = ticker.now()
            if (now - lastMessageAt >= idleTimeout) return close()
            if (now - lastWriteAt >= timings.heartbeatInterval) write(HEARTBEAT, isMessage = false)
        }
    }

    /**
     * Writes an encoded frame; returns false when the connection has ended.
     *
     * @param isMessage whether the frame counts as use of the link; false for heartbeats
     */
    suspend fun write(frameBody: ByteArray, isMessage: Boolean = true): Boolean = writeMutex.withLock {
        if (!open) return@withLock false
        if (isMessage) lastMessageAt = ticker.now()
        val written = connection.writeBody(frameBody)
        lastWriteAt = ticker.now()
        if (!written) close()
        written
    }

    fun close() {
        open = false
        connection.close()
    }

    companion object {
        /** Encoded heartbeat frame. */
        val HEARTBEAT: ByteArray = FrameCodec.encode(LinkFrame.Heartbeat)
    }
}
