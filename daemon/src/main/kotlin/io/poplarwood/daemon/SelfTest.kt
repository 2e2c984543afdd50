package io.poplarwood.daemon

import io.poplarwood.gateway.log.GatewayLogging
import io.poplarwood.gateway.settings.GatewaySettings
import io.poplarwood.platform.standin.Reaction
import io.poplarwood.platform.standin.StandInCaller
import io.poplarwood.platform.standin.StandInCell
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import sun.misc.Signal
import java.nio.file.Files
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/**
 * Runs two gateways, one of them as a process would, against a stand-in store and stand-in upstreams on loopback, and
 * checks that requests are answered. The build runs it to record the classes of a start.
 */
object SelfTest {
    /** Requests that are sent. */
    const val REQUESTS: Int = 300
    private const val OK = 200
    private const val NOT_RUN = 503
    private const val TRIES = 20
    private const val RETURN_MS = 100L
    private const val STOP_S = 0.5
    private const val PAUSE_S = "0.2"
    private const val DOWN_MS = 300L

    /** Runs it; the number of requests that were answered. */
    fun run(): Int {
        GatewayLogging.enable()
        StandInCell(graceS = STOP_S).use { cell ->
            cell.putDesiredState(
                1,
                StandInCell.routeJson("/read/"),
                StandInCell.routeJson("/write/", StandInCell.NON_IDEMPOTENT, "s2"),
            )
            for (i in 1..3) cell.startUpstream("u$i")
            for (i in 4..5) cell.startUpstream("u$i", service = "s2")
            troubled(cell)
            val daemon = runAsProcess(cell.settings("entry-2"))
            val (first, settings) = cell.startGateway("entry-1")
            val served = (1..REQUESTS).count { ask(settings.listen.callers, it) }
            Signal.raise(Signal("TERM"))
            daemon.join()
            runBlocking { first.stop() }
            GatewayLogging.flush()
            return served
        }
    }

    /** Upstreams that leave, ask for a pause, or end while they run a request; others can answer in their place. */
    private fun troubled(cell: StandInCell) {
        cell.startUpstream("u6", react = Reaction::draining)
        cell.startUpstream("u7") { Reaction.shed(it, retryAfter = PAUSE_S) }
        val ended = AtomicBoolean()
        cell.startUpstream("u8") {
            if (ended.getAndSet(true)) Reaction.reply(it) else Reaction(ByteArray(0), crashDownMs = DOWN_MS)
        }
    }

    private fun runAsProcess(settings: GatewaySettings): Thread {
        val file = Files.createTempFile("poplarwood", ".jsonc")
        Files.writeString(file, Json.encodeToString(GatewaySettings.serializer(), settings))
        return thread {
            GatewayRunner.run(file) { System.err.println(it) }
            Files.delete(file)
        }
    }

    private fun ask(address: String, number: Int): Boolean =
        answered(address) { call("GET", "/read/$number", "r$number") } &&
            answered(address) { call("POST", "/write/$number", "w$number", body = "order") }

    /** Asks as callers do, who come back when they are told that their request has not run. */
    private fun answered(address: String, call: StandInCaller.() -> StandInCaller.Reply): Boolean {
        repeat(TRIES) {
            val status = StandInCaller(address).use { it.call() }.status
            if (status != NOT_RUN) return status == OK
            Thread.sleep(RETURN_MS)
        }
        return false
    }
}
