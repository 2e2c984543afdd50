package io.poplarwood.entry.support

import java.io.ByteArrayOutputStream
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** An upstream made of bare sockets: [serve] scripts each connection, everything received is recorded. */
internal class RawUpstream(private val serve: RawUpstream.Connection.() -> Unit) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    val connections = CopyOnWriteArrayList<Connection>()
    val address: String = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true, name = "raw-upstream") { accept() }
    }

    /** Requests whose heads arrived, over all connections. */
    val heads: List<String> get() = connections.flatMap { it.heads }

    private fun accept() {
        while (!listener.isClosed) {
            val socket = runCatching { listener.accept() }.getOrNull() ?: return
            val connection = Connection(socket)
            connections += connection
            thread(isDaemon = true) { socket.use { runCatching { connection.serve() } } }
        }
    }

    override fun close() {
        listener.close()
        connections.forEach { runCatching { it.socket.close() } }
    }

    class Connection(val socket: Socket) {
        val heads = CopyOnWriteArrayList<String>()
        val received = ByteArrayOutputStream()
        private val input: InputStream = socket.getInputStream()

        /** Reads one request head; null at the end of the connection. */
        fun readHead(): String? {
            val text = StringBuilder()
            while (!text.endsWith("\r\n\r\n")) {
                val byte = read()
                if (byte < 0) return null
                text.append(byte.toChar())
            }
            heads += text.toString()
            return text.toString()
        }

        /** Reads one byte and records it; -1 at the end. */
        fun read(): Int = input.read().also { if (it >= 0) synchronized(received) { received.write(it) } }

        /** Reads [count] bytes; false when the connection ends before. */
        fun skipBytes(count: Long): Boolean {
            val buffer = ByteArray(65536)
            var left = count
            while (left > 0) {
                val read = input.read(buffer, 0, minOf(left, buffer.size.toLong()).toInt())
                if (read < 0) return false
                left -= read
            }
            return true
        }

        /** Reads to the end of the connection and records it; true when it ended with a reset. */
        fun readToEnd(): Boolean =
            try {
                while (read() >= 0) Unit
                false
            } catch (_: java.io.IOException) {
                true
            }

        fun send(text: String) {
            socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
            socket.getOutputStream().flush()
        }

        /** Ends the connection with a reset. */
        fun reset() {
            socket.setSoLinger(true, 0)
            socket.close()
        }

        fun receivedText(): String = synchronized(received) { received.toString(Charsets.ISO_8859_1) }
    }
}
