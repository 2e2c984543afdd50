package io.poplarwood.entry.support

import java.io.ByteArrayOutputStream
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** An upstream on plain sockets. [serve] handles each connection; all bytes read are recorded but for skipped ones. */
internal class RawUpstream(private val serve: RawUpstream.Connection.() -> Unit) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    val connections = CopyOnWriteArrayList<Connection>()
    val address: String = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true, name = "raw-upstream") { accept() }
    }

    /** Request heads received on all connections. */
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

        /** Reads and records one request head; null at the end of the connection. */
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

        /** Reads and records one byte; -1 at the end of the connection. */
        fun read(): Int = input.read().also { if (it >= 0) synchronized(received) { received.write(it) } }

        /** Reads and discards [count] bytes; false when the connection ends before. */
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

        /** Reads and records all bytes until the end of the connection; true when the connection was reset. */
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

        /** Closes the connection with a reset. */
        fun reset() {
            socket.setSoLinger(true, 0)
            socket.close()
        }

        fun receivedText(): String = synchronized(received) { received.toString(Charsets.ISO_8859_1) }
    }
}
