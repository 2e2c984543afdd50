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

/** One authenticated connection to [peer], usable in both directions. */
internal class Link(
    val peer: Peer,
    private val wire: FrameConnection,
    private val times: LinkTimings,
    private val ticker: Ticker,
    private val dialled: Boolean,
) {
    private val writing = Mutex()

    @Volatile
    private var wroteAt = ticker.now()

    @Volatile
    private var usedAt = ticker.now()

    /** False once the connection has ended. */
    @Volatile
    var open = true
        private set

    /** True while messages have passed recently, so that a lost link is worth replacing. */
    val inUse: Boolean get() = ticker.now() - usedAt < times.idle

    /** Reads until the connection ends; returns why, or null when it ended in order. */
    suspend fun run(onMessage: suspend (Peer, PeerMessage) -> Unit): Rejection? = coroutineScope {
        val beats = launch { beat() }
        try {
            read(onMessage)
        } finally {
            close()
            beats.cancel()
        }
    }

    private suspend fun read(onMessage: suspend (Peer, PeerMessage) -> Unit): Rejection? {
        while (true) {
            var timedOut = true
            val frame = withTimeoutOrNull(times.silence) { wire.read().also { timedOut = false } }
            when {
                timedOut -> return if (open) Rejection.SILENT else null
                frame is LinkFrame.Message -> {
                    usedAt = ticker.now()
                    onMessage(peer, frame.message)
                }
                frame is LinkFrame.Heartbeat -> Unit
                frame == null -> return wire.fault
                else -> return Rejection.MALFORMED
            }
        }
    }

    private suspend fun beat() {
        // The accepting side waits longer, so that the dialling side, which may be about to send, decides.
        val idle = if (dialled) times.idle else times.idle * 2
        while (open) {
            delay(times.heartbeat / 2)
            val now = ticker.now()
            if (now - usedAt >= idle) return close()
            if (now - wroteAt >= times.heartbeat) write(BEAT, message = false)
        }
    }

    /** Writes an encoded frame; returns false when the connection has ended. */
    suspend fun write(body: ByteArray, message: Boolean = true): Boolean = writing.withLock {
        if (!open) return@withLock false
        if (message) usedAt = ticker.now()
        val written = wire.writeBody(body)
        wroteAt = ticker.now()
        if (!written) close()
        written
    }

    fun close() {
        open = false
        wire.close()
    }

    companion object {
        /** An encoded heartbeat. */
        val BEAT: ByteArray = FrameCodec.encode(LinkFrame.Heartbeat)
    }
}
