package io.poplarwood.bench.load

import io.ktor.client.HttpClient
import io.ktor.client.engine.apache5.Apache5
import io.ktor.client.plugins.HttpTimeout
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds

/**
 * Sends requests at random times that do not depend on the answers, as independent callers do.
 *
 * @property known callers' addresses to ask for the entries of a service
 */
class LoadGenerator(
    private val classes: List<LoadClass>,
    private val known: List<String>,
    private val ticker: Ticker,
    private val seed: Long,
) : AutoCloseable {
    private val client = HttpClient(Apache5) {
        expectSuccess = false
        followRedirects = false
        engine {
            customizeClient { disableAutomaticRetries() }
            configureConnectionManager {
                setMaxConnTotal(CONNECTIONS)
                setMaxConnPerRoute(CONNECTIONS)
            }
        }
        install(HttpTimeout) {
            connectTimeoutMillis = CONNECT_MS
            socketTimeoutMillis = ANSWER_MS
            requestTimeoutMillis = ANSWER_MS
        }
    }
    private val books = classes.map { it.service }.distinct().associateWith { EntryBook(it, known, client, ticker) }

    /** Sends for [duration], waits for the answers that are still out, and reports by class. */
    suspend fun run(duration: Duration): List<LoadReport> {
        val statistics = classes.map { LoadStatistics(it) }
        coroutineScope {
            classes.forEachIndexed { i, of ->
                val caller = LoadCaller(of, books.getValue(of.service), client, ticker, statistics[i])
                launch(Dispatchers.Default) { arrivals(of, caller, SplitMix(seed + i), duration) }
            }
        }
        return statistics.map { it.report() }
    }

    override fun close(): Unit = client.close()

    private suspend fun arrivals(of: LoadClass, caller: LoadCaller, random: SplitMix, duration: Duration) =
        coroutineScope {
            val start = ticker.now()
            var at = ZERO
            var number = 0
            while (true) {
                // Exponential gaps make a Poisson process. A rate of zero is looked at again a little later.
                val rate = of.rateAt(at).coerceAtLeast(LOWEST_RATE)
                at += (-ln(1.0 - random.nextDouble()) / rate).coerceAtMost(LONGEST_GAP_SECONDS).seconds
                if (at >= duration) break
                val due = start + at
                delay(due - ticker.now())
                val token = "${of.name}-$seed-${number++}"
                launch { caller.call(token, due) }
            }
        }

    private companion object {
        const val CONNECTIONS = 4_096
        const val CONNECT_MS = 2_000L
        const val ANSWER_MS = 60_000L
        const val LOWEST_RATE = 0.01
        const val LONGEST_GAP_SECONDS = 1.0
    }
}
