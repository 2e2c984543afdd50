package io.poplarwood.peer

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/**
 * TCP relay to the loopback port [target]. Connections that are open when [silence] is called stay open but transfer
 * nothing more; new connections work.
 */
internal class Relay(private val target: Int) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val silenced = CopyOnWriteArrayList<AtomicBoolean>()
    val port: Int get() = server.localPort
    val connections: Int get() = silenced.size

    init {
        thread(isDaemon = true) { runCatching { while (true) connectToTarget(server.accept()) } }
    }

    fun silence() = silenced.forEach { it.set(true) }

    private fun connectToTarget(inbound: Socket) {
        val silent = AtomicBoolean()
        val outbound = Socket(InetAddress.getLoopbackAddress(), target)
        sockets += listOf(inbound, outbound)
        silenced += silent
        forward(inbound, outbound, silent)
        forward(outbound, inbound, silent)
    }

    private fun forward(from: Socket, to: Socket, silent: AtomicBoolean) = thread(isDaemon = true) {
        runCatching {
            val buffer = ByteArray(8192)
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (!silent.get()) to.getOutputStream().write(buffer, 0, count)
            }
        }
        if (!silent.get()) to.close()
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }
}
