package io.poplarwood.entry.support

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Relays connections to an upstream; [blackhole] silences all open connections permanently, while new ones work. */
internal class BlackholingRelay(private val upstream: String) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val pairs = CopyOnWriteArrayList<SocketPair>()
    val address: String = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) pairs += SocketPair(runCatching { listener.accept() }.getOrNull() ?: break)
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

        init {
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
                        if (!silent) to.getOutputStream().write(buffer, 0, read)
                    }
                    if (!silent) to.close()
                }
            }
    }
}
