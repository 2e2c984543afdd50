package io.poplarwood.entry.support

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Relays connections to an upstream; [blackhole] silences all open connections permanently, while new ones work. A
 * connection that carries a request for [LOST_PATH] passes it on and is silent from then on, whether it is new or not:
 * a caller can have its answer before the entry's client has its connection back in the pool, so the next request may
 * use a new one.
 */
internal class BlackholingRelay(private val upstream: String) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val pairs = CopyOnWriteArrayList<SocketPair>()
    val address: String = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val pair = SocketPair(runCatching { listener.accept() }.getOrNull() ?: break)
                // Added before it carries bytes, so that none is missed when connections are silenced.
                pairs += pair
                pair.start()
            }
        }
    }

    /** Discards all further bytes on the connections that are open now. */
    fun blackhole() = pairs.forEach { it.silent = true }

    override fun close() {
        listener.close()
        pairs.forEach { it.close() }
    }

    private inner class SocketPair(private val callerSide: Socket) {
        private val upstreamSide = Socket("127.0.0.1", upstream.substringAfter(':').toInt())

        @Volatile
        var silent = false

        fun start() {
            pump(callerSide, upstreamSide)
            pump(upstreamSide, callerSide)
        }

        fun close() {
            callerSide.close()
            upstreamSide.close()
        }

        private fun pump(from: Socket, to: Socket) =
            thread(isDaemon = true) {
                runCatching {
                    val buffer = ByteArray(4096)
                    while (true) {
                        val read = from.getInputStream().read(buffer)
                        if (read < 0) break
                        val discarded = silent
                        if (LOST_PATH in String(buffer, 0, read, Charsets.ISO_8859_1)) silent = true
                        if (!discarded) to.getOutputStream().write(buffer, 0, read)
                    }
                    if (!silent) to.close()
                }
            }
    }

    companion object {
        const val LOST_PATH = "/lost"
    }
}
