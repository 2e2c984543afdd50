package io.poplarwood.entry.support

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException

/** A caller on a plain socket, which sends and reads raw HTTP. */
internal class RawCaller(port: Int, timeoutMs: Int = 10_000) : AutoCloseable {
    val socket = Socket("127.0.0.1", port).apply { soTimeout = timeoutMs }
    private val input = socket.getInputStream().buffered()

    /** True once [readToEnd] ended with a connection reset. */
    var reset: Boolean = false
        private set

    fun send(text: String): RawCaller = send(text.toByteArray(Charsets.ISO_8859_1))

    fun send(bytes: ByteArray): RawCaller {
        socket.getOutputStream().write(bytes)
        socket.getOutputStream().flush()
        return this
    }

    fun finishSending(): RawCaller = apply { socket.shutdownOutput() }

    /** Reads until the end of the connection. */
    fun readToEnd(): String {
        val out = ByteArrayOutputStream()
        try {
            input.copyTo(out)
        } catch (e: SocketTimeoutException) {
            throw e
        } catch (_: IOException) {
            reset = true
        }
        return out.toString(Charsets.ISO_8859_1)
    }

    /** Reads one response head and a body of the length that [bodyOf] derives from the head. */
    fun answer(bodyOf: (String) -> Int = ::lengthOf): Answer {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) throw IOException("connection ended in head: $head")
            head.append(byte.toChar())
        }
        val body = input.readNBytes(bodyOf(head.toString()))
        return Answer(head.toString(), body.toString(Charsets.ISO_8859_1))
    }

    /** Reads and discards up to [size] bytes; returns the number of bytes read. */
    fun discardBytes(size: Long): Long {
        val buffer = ByteArray(65536)
        var total = 0L
        while (total < size) {
            val read = input.read(buffer, 0, minOf(buffer.size.toLong(), size - total).toInt())
            if (read < 0) break
            total += read
        }
        return total
    }

    override fun close() = socket.close()

    class Answer(val head: String, val body: String) {
        val status: Int = head.substring(9, 12).toInt()

        fun header(name: String): String? =
            head.lines().firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()
    }

    private companion object {
        fun lengthOf(head: String): Int =
            head.lines().firstOrNull { it.startsWith("content-length:", ignoreCase = true) }
                ?.substringAfter(':')?.trim()?.toInt() ?: 0
    }
}
