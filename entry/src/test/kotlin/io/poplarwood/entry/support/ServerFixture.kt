package io.poplarwood.entry.support

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.time.Ticker
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.api.work.MatchRule
import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.api.work.Target
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.entry.http.CallServer
import io.poplarwood.entry.metrics.EntryMetrics
import io.poplarwood.entry.runtime.CallRunner
import io.poplarwood.entry.settings.HttpSettings
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A [CallServer] in front of one scripted upstream.
 *
 * @param attempts maximum number of attempts per call
 * @param upstreamAddress address to send calls to; null for the scripted upstream
 * @param serve handles each connection of the scripted upstream
 */
internal class ServerFixture(
    settings: HttpSettings = HttpSettings(),
    attempts: Int = 1,
    upstreamAddress: String? = null,
    wrap: (SingleUpstreamRunner) -> CallRunner = { it },
    serve: RawUpstream.Connection.() -> Unit = {},
) : AutoCloseable {
    val upstream = RawUpstream(serve)
    val runner = SingleUpstreamRunner(upstreamAddress ?: upstream.address, attempts)
    val metrics = EntryMetrics()
    private val wrappedRunner = wrap(runner)
    val server =
        CallServer(
            settings = settings.copy(host = "127.0.0.1", port = 0),
            documents = { if (it == SERVICE) DOCUMENT else null },
            runners = { if (it == SERVICE) wrappedRunner else null },
            ticker = SYSTEM_TICKER,
            metrics = metrics,
        )

    init {
        runBlocking { server.start() }
    }

    /** Waits for the evidence of [count] attempts, which is recorded only after the caller got its response. */
    fun evidence(count: Int = 1): List<AttemptObservation> {
        waitUntil("$count attempts") { runner.evidence.size >= count }
        return runner.evidence
    }

    fun caller(timeoutMs: Int = 10_000) = RawCaller(server.port, timeoutMs)

    override fun close() {
        runBlocking { server.stop() }
        upstream.close()
    }

    companion object {
        val SERVICE = ServiceName("counter")
        val SYSTEM_TICKER = Ticker { System.nanoTime().nanoseconds }
        val DOCUMENT =
            ServiceDocument(
                service = SERVICE,
                classes =
                    listOf(
                        ClassSpec(ClassName("checks"), Rank.URGENT, Target(servedWithinMs = 100)),
                        ClassSpec(
                            ClassName("uploads"),
                            Rank.STANDARD,
                            Target(keepShare = 0.3),
                            match = listOf(MatchRule(pathPrefix = "/up")),
                        ),
                        ClassSpec(
                            ClassName("small"),
                            Rank.BACKGROUND,
                            Target(keepShare = 0.1),
                            match = listOf(MatchRule(pathPrefix = "/small")),
                            maxBodyBytes = 1000,
                        ),
                    ),
                defaultClass = ClassName("checks"),
            )
    }
}

/** Waits until [condition] holds; fails after 5 s. */
internal fun waitUntil(description: String, condition: () -> Boolean) {
    val end = System.nanoTime() + 5_000_000_000
    while (!condition()) {
        check(System.nanoTime() < end) { "no $description within 5 s" }
        Thread.sleep(5)
    }
}
