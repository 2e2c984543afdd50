package io.poplarwood.entry.metrics

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.outcome.RetryReason
import io.poplarwood.decision.routing.AttemptResult
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.Unit
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Metrics of the data path; docs/metrics.md lists them.
 *
 * The counter of every reason exists from the start, at zero: a counter that appears with its first increment hides it
 * from rate queries.
 */
class EntryMetrics(
    private val registry: PrometheusRegistry = PrometheusRegistry(),
    private val recent: RecentCalls? = null,
) {
    private val requests =
        counter("poplarwood_requests", "Requests by their final outcome.", "service", "class", "outcome")
    private val refusals = counter("poplarwood_refusals", "Answers that are not the upstream's own.", "reason")
    private val retries = counter("poplarwood_retries", "Further attempts.", "reason")
    private val attempts = counter("poplarwood_attempts", "Attempts by their result.", "result")
    private val silentConnections =
        counter("poplarwood_silent_connections", "Upstream connections closed because they went silent.")
    private val silenceProbes =
        counter("poplarwood_silence_probes", "Fresh connections opened to tell silent from slow.", "result")
    private val requestBytes = counter("poplarwood_request_body", "Bytes of request bodies.", unit = Unit.BYTES)
    private val responseBytes = counter("poplarwood_answer_body", "Bytes of answer bodies.", unit = Unit.BYTES)
    private val truncatedResponses =
        counter("poplarwood_cut_answers", "Answers cut towards the caller because the upstream's was.")
    private val inFlight =
        Gauge.builder().name("poplarwood_in_flight").help("Requests that have no final answer yet.").register(registry)
    private val callerConnections =
        Gauge.builder().name("poplarwood_caller_connections").help("Open connections of callers.").register(registry)
    private val latency =
        Histogram.builder().name(
            "poplarwood_latency",
        ).unit(Unit.SECONDS).help("Time from arrival to the end of the answer.")
            .labelNames("service", "class").classicOnly().classicUpperBounds(*LATENCY_BUCKETS_SECONDS)
            .register(registry)

    private val refusalCounters = RefusalReason.entries.map { refusals.labelValues(it.wire) }
    private val attemptCounters = AttemptResult.entries.map { attempts.labelValues(it.name.lowercase()) }
    private val retryCounters = RetryReason.entries.map { retries.labelValues(it.wire) }

    /** Counts a response that this system sent in place of an upstream's. */
    fun countRefusal(reason: RefusalReason) = refusalCounters[reason.ordinal].inc()

    /** Counts an attempt after the first one. */
    fun countRetry(reason: RetryReason) = retryCounters[reason.ordinal].inc()

    /** Counts an attempt that ended with [result]. */
    fun countAttempt(result: AttemptResult) = attemptCounters[result.ordinal].inc()

    /** Counts an upstream connection that was closed because it went silent. */
    fun countSilentConnection() = silentConnections.inc()

    /** Counts a probe on a new connection, which distinguishes a silent connection from a slow request. */
    fun countSilenceProbe(answered: Boolean) =
        silenceProbes.labelValues(if (answered) "answered" else "unanswered").inc()

    /** Counts a response that was truncated after its head was sent to the caller. */
    fun countTruncatedResponse() = truncatedResponses.inc()

    /** Adds bytes of a request body read from a caller. */
    fun addRequestBytes(count: Long) = requestBytes.inc(count.toDouble())

    /** Adds bytes of a response body sent to a caller. */
    fun addResponseBytes(count: Long) = responseBytes.inc(count.toDouble())

    /** Counts a request as in flight until [requestEnded]. */
    fun requestStarted() = inFlight.inc()

    fun requestEnded() = inFlight.dec()

    fun callerConnected() = callerConnections.inc()

    fun callerDisconnected() = callerConnections.dec()

    /** Records the latency of a request and its [outcome]: `answered` or the wire value of an outcome kind. */
    fun recordRequest(service: ServiceName, workClass: ClassName, outcome: String, took: Duration) {
        requests.labelValues(service.value, workClass.value, outcome).inc()
        latency.labelValues(service.value, workClass.value).observe(took.toDouble(DurationUnit.SECONDS))
        recent?.record(service, workClass, outcome == ANSWERED, took)
    }

    /** All metrics in the Prometheus text format. */
    fun exposition(): ByteArray {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.builder().build().write(out, registry.scrape())
        return out.toByteArray()
    }

    /** Help text of each metric by its name. */
    fun helpTexts(): Map<String, String> =
        registry.scrape().associate { it.metadata.prometheusName to it.metadata.help.orEmpty() }

    private fun counter(
        name: String,
        help: String,
        vararg labels: String,
        unit: Unit? = null,
    ): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels)
            .apply { if (unit != null) unit(unit) }.register(registry)

    private companion object {
        const val ANSWERED = "answered"
        val LATENCY_BUCKETS_SECONDS =
            doubleArrayOf(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
    }
}
