package io.poplarwood.bench.overhead

import org.HdrHistogram.Histogram
import java.net.Socket
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread
import kotlin.time.Duration

/** Sends requests on [connections] kept connections, each from its own thread. */
internal class EchoLoad(private val port: Int, private val connections: Int) {
    /** Sends without pause for [time]; returns requests answered a second. */
    fun capacity(time: Duration): Double {
        val counts = LongArray(connections)
        run { index, connection ->
            val end = System.nanoTime() + time.inWholeNanoseconds
            while (System.nanoTime() < end) {
                connection.call()
                counts[index]++
            }
        }
        return counts.sum() / (time.inWholeNanoseconds / NANOS)
    }

    /** Sends [rate] requests a second for [time]; returns latencies in nanoseconds from when each was due. */
    fun latencies(rate: Double, time: Duration): Histogram {
        val histograms = List(connections) { Histogram(HIGHEST, DIGITS) }
        val spacing = (connections / rate * NANOS).toLong()
        run { index, connection ->
            val start = System.nanoTime() + spacing * index / connections
            val count = time.inWholeNanoseconds / spacing
            for (n in 0 until count) {
                val due = start + n * spacing
                var now = System.nanoTime()
                while (now < due) {
                    LockSupport.parkNanos(due - now)
                    now = System.nanoTime()
                }
                connection.call()
                histograms[index].recordValue((System.nanoTime() - due).coerceIn(1, HIGHEST))
            }
        }
        return Histogram(HIGHEST, DIGITS).apply { histograms.forEach { add(it) } }
    }

    private fun run(work: (Int, Connection) -> Unit) {
        val barrier = CyclicBarrier(connections)
        val threads =
            List(connections) { index ->
                thread(name = "$THREADS-$index") {
                    Connection(port).use {
                        barrier.await()
                        work(index, it)
                    }
                }
            }
        threads.forEach { it.join() }
    }

    private class Connection(port: Int) : AutoCloseable {
        private val socket = Socket("127.0.0.1", port).apply { tcpNoDelay = true }
        private val input = socket.getInputStream()
        private val output = socket.getOutputStream()
        private val buffer = ByteArray(8192)

        /** Sends one request and reads its answer, whose body has a known length. */
        fun call() {
            output.write(REQUEST)
            var size = 0
            var whole = Int.MAX_VALUE
            while (size < whole) {
                val read = input.read(buffer, size, buffer.size - size)
                check(read > 0) { "connection ended" }
                size += read
                if (whole == Int.MAX_VALUE) whole = wholeSize(size)
            }
        }

        private fun wholeSize(size: Int): Int {
            for (at in 3 until size) {
                if (buffer[at] == LF && buffer[at - 1] == CR && buffer[at - 2] == LF) {
                    val head = String(buffer, 0, at, Charsets.ISO_8859_1)
                    check(head.startsWith("HTTP/1.1 200")) { head }
                    val from = head.indexOf("ontent-", ignoreCase = true)
                    val line = head.substring(head.indexOf("ength: ", from, ignoreCase = true) + LENGTH_NAME)
                    return at + 1 + line.substringBefore('\r').trim().toInt()
                }
            }
            return Int.MAX_VALUE
        }

        override fun close() = socket.close()
    }

    companion object {
        /** Prefix of its threads' names. */
        const val THREADS = "bench-caller"
        private const val NANOS = 1e9
        private const val HIGHEST = 60_000_000_000L
        private const val DIGITS = 3
        private const val LENGTH_NAME = 7
        private const val LF = '\n'.code.toByte()
        private const val CR = '\r'.code.toByte()
        private val REQUEST =
            "GET /stock/12345?x=1 HTTP/1.1\r\nHost: counter\r\nAccept: application/json\r\nUser-Agent: bench\r\n\r\n"
                .toByteArray()
    }
}
