package io.poplarwood.daemon

import io.poplarwood.gateway.log.GatewayLogging
import io.poplarwood.gateway.settings.GatewaySettings
import io.poplarwood.platform.standin.ArrivalTimes
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
 * Runs two gateways, one of them by [GatewayRunner] with signal handling, and later a third, against a stand-in store
 * and stand-in upstreams on loopback, and checks that requests are served and that large changes come into force. The
 * build runs it to record which classes a start loads.
 */
object SelfTest {
    /** Number of request pairs sent: a read and a non-idempotent write each. */
    const val REQUESTS: Int = 300
    private const val OK = 200
    private const val NOT_EXECUTED = 503
    private const val MAX_ATTEMPTS = 20
    private const val RETRY_DELAY_MS = 100L
    private const val GRACE_S = 0.5
    private const val RETRY_AFTER_S = "0.2"
    private const val DOWN_MS = 300L
    private const val LIMIT_PER_S = 5
    private const val LIMIT_WINDOW_MS = 4_000L

    /** The platform's rule: at most one and a half times what the limit allows in four seconds, and five more. */
    private const val MOST_IN_WINDOW = 35

    /**
     * Returns the number of request pairs that were served. Stops one gateway by raising SIGTERM in this process.
     *
     * @throws IllegalStateException if an upstream got more requests than the rate limit that it names allows
     */
    fun run(): Int {
        GatewayLogging.enable()
        StandInCell(graceS = GRACE_S).use { cell ->
            // One attempt may be shed, and the next one crash its upstream.
            val read = StandInCell.routeJson("/read/", maxAttempts = 3)
            val write = StandInCell.routeJson("/write/", StandInCell.NON_IDEMPOTENT, "s2")
            cell.putDesiredState(1, read, write)
            for (i in 1..3) cell.startUpstream("u$i")
            for (i in 4..5) cell.startUpstream("u$i", service = "s2")
            startFaultyUpstreams(cell)
            val arrivals = startLimitedUpstream(cell)
            val startMs = ArrivalTimes.nowMs()
            val daemonSettings = cell.settings("entry-2")
            val daemon = startDaemon(daemonSettings)
            val (first, settings) = cell.startGateway("entry-1")
            val served = (1..REQUESTS).count { sendPair(settings.listen.callers, it) }
            LargeChangeCheck(cell, listOf(read, write)).use { check ->
                for (version in 2..3) check.run(version, listOf(settings, daemonSettings).map { it.listen.callers })
            }
            Signal.raise(Signal("TERM"))
            daemon.join()
            runBlocking { first.stop() }
            GatewayLogging.flushAndStop()
            val most = arrivals.most(LIMIT_WINDOW_MS, startMs, ArrivalTimes.nowMs())
            check(most <= MOST_IN_WINDOW) { "an upstream at $LIMIT_PER_S requests per second got $most in 4 s" }
            return served
        }
    }

    /** Starts an upstream that names a rate limit for all entries together, and returns when requests arrived there. */
    private fun startLimitedUpstream(cell: StandInCell): ArrivalTimes {
        val arrivals = ArrivalTimes()
        cell.startUpstream("u9") {
            arrivals.add()
            Reaction.rateLimited(it, LIMIT_PER_S.toString())
        }
        return arrivals
    }

    /** Starts upstreams that drain, ask for a pause or crash while they execute a request. The others serve instead. */
    private fun startFaultyUpstreams(cell: StandInCell) {
        cell.startUpstream("u6", react = Reaction::draining)
        cell.startUpstream("u7") { Reaction.shed(it, retryAfter = RETRY_AFTER_S) }
        val crashed = AtomicBoolean()
        cell.startUpstream("u8") {
            if (crashed.getAndSet(true)) Reaction.reply(it) else Reaction(ByteArray(0), crashDownMs = DOWN_MS)
        }
    }

    private fun startDaemon(settings: GatewaySettings): Thread {
        val file = Files.createTempFile("poplarwood", ".jsonc")
        Files.writeString(file, Json.encodeToString(GatewaySettings.serializer(), settings))
        return thread {
            GatewayRunner.run(file) { System.err.println(it) }
            Files.delete(file)
        }
    }

    private fun sendPair(address: String, number: Int): Boolean =
        sendWithRetries(address) { call("GET", "/read/$number", "r$number") } &&
            sendWithRetries(address) { call("POST", "/write/$number", "w$number", body = "order") }

    /** Retries [call] while its status is 503, which says that it was not executed; returns whether it was served. */
    private fun sendWithRetries(address: String, call: StandInCaller.() -> StandInCaller.Reply): Boolean {
        repeat(MAX_ATTEMPTS) {
            val status = StandInCaller(address).use { it.call() }.status
            if (status != NOT_EXECUTED) return status == OK
            Thread.sleep(RETRY_DELAY_MS)
        }
        return false
    }
}
