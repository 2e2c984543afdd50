package io.poplarwood.bench.load

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import io.poplarwood.api.id.ServiceName
import io.poplarwood.standins.net.monotonicTicker
import io.poplarwood.standins.upstream.RunResponse
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.security.MessageDigest
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class LoadGeneratorSpec {
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
    private val address = "127.0.0.1:${server.address.port}"
    private val pool = Executors.newFixedThreadPool(8)
    private val keys = AtomicInteger()
    private val dead = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }

    @BeforeEach
    fun start() {
        server.executor = pool
        val entries = """[{"address":"$dead","keyPrefix":"d."},{"address":"$address","zone":"a","keyPrefix":"e1.x."}]"""
        server.createContext("/poplarwood/entries") { it.reply(200, """{"lifetimeMs":30000,"entries":$entries}""") }
        server.createContext("/good") { it.reply(200, answer(it)) }
        server.createContext("/wrong") { it.reply(200, answer(it).replace("wrong-", "other-")) }
        server.createContext("/busy") {
            it.responseHeaders.add("Poplarwood-Outcome", "not-run")
            it.responseHeaders.add("Poplarwood-Reason", "overloaded")
            it.reply(503, "")
        }
        server.start()
    }

    @AfterEach
    fun stop() {
        server.stop(0)
        pool.shutdownNow()
    }

    /** Guards against a generator that counts a foreign, cut or refused answer as served, or stops at a dead entry. */
    @Test
    fun `answers are counted for what they are`() {
        val classes = listOf(of("good", bytes = 3_000, keyed = true), of("wrong"), of("busy"))
        val (good, wrong, busy) = LoadGenerator(classes, listOf(dead, address), monotonicTicker(), 1).use {
            runBlocking { it.run(1.seconds) }
        }
        assertEquals(good.sent, good.served, "$good")
        assertEquals(good.sent, keys.get().toLong())
        assertEquals(wrong.sent to 0L, wrong.wrong to wrong.served)
        assertEquals(mapOf("overloaded" to busy.sent), busy.refused)
        assertTrue(good.sent in 20..100, "${good.sent} requests at a mean of 50")
    }

    private fun of(name: String, bytes: Int = 0, keyed: Boolean = false) =
        LoadClass(name, ServiceName("s"), if (bytes > 0) "PUT" else "GET", "/$name", 50.0, 1.milliseconds, bytes, keyed)

    private fun answer(exchange: HttpExchange): String {
        val body = exchange.requestBody.readBytes()
        if (exchange.requestHeaders.getFirst("Idempotency-Key")?.startsWith("e1.x.") == true) keys.incrementAndGet()
        val token = exchange.requestHeaders.getFirst("Stand-In-Token")
        val digest = MessageDigest.getInstance("SHA-256").digest(body).toHexString()
        return Json.encodeToString(RunResponse("u", token, "GET", "/", body.size.toLong(), digest, 0))
    }

    private fun HttpExchange.reply(status: Int, text: String) = use {
        sendResponseHeaders(status, if (text.isEmpty()) -1 else text.length.toLong())
        if (text.isNotEmpty()) responseBody.write(text.toByteArray())
    }

    private fun HttpExchange.use(block: HttpExchange.() -> Unit) = try {
        block()
    } finally {
        close()
    }
}
