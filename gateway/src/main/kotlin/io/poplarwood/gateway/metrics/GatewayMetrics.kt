package io.poplarwood.gateway.metrics

import io.poplarwood.gateway.runtime.Outcome
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.Unit
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Metrics of a gateway; docs/metrics.md lists them. */
internal class GatewayMetrics(private val registry: PrometheusRegistry = PrometheusRegistry()) {
    private val requests = counter("poplarwood_gateway_requests", "Requests by how they ended.", "outcome")
    private val repeats = counter("poplarwood_gateway_repeats", "Further attempts by reason.", "reason")
    private val connections = counter("poplarwood_gateway_upstream_connections", "Connections opened to upstreams.")
    private val probes = counter("poplarwood_gateway_probes", "Questions to upstreams for their load.")
    private val latency = Histogram.builder().name("poplarwood_gateway_latency").unit(Unit.SECONDS)
        .help("Time from a request's head to its answer.").labelNames("priority").classicOnly()
        .classicUpperBounds(*LATENCY_BOUNDS).register(registry)
    private val outcomes = Outcome.entries.map { requests.labelValues(it.label) }
    private val reasons = RetryReason.entries.map { repeats.labelValues(it.name.lowercase()) }

    /** Counts a request that ended with [outcome] after [took]. */
    fun ended(outcome: Outcome, priority: Int, took: Duration) {
        outcomes[outcome.ordinal].inc()
        latency.labelValues(priority.toString()).observe(took.toDouble(DurationUnit.SECONDS))
    }

    /** Counts a further attempt. */
    fun repeated(reason: RetryReason) = reasons[reason.ordinal].inc()

    /** Counts a connection opened to an upstream. */
    fun connected() = connections.inc()

    /** Counts a question to an upstream for its load. */
    fun probed() = probes.inc()

    /** All metrics in the text format. */
    fun text(): ByteArray {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toByteArray()
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)

    private companion object {
        val LATENCY_BOUNDS = doubleArrayOf(0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 5.0, 10.0)
    }
}

/** Why a request went to a further upstream. */
internal enum class RetryReason { SHED, OTHER_UPSTREAM, NOT_SENT, LOST, FAILED, SLOW }
