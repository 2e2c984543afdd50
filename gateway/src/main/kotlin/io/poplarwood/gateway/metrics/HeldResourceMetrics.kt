package io.poplarwood.gateway.metrics

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Gauges of what requests hold until their final answer, read when they are scraped. */
internal class HeldResourceMetrics(private val registry: PrometheusRegistry, held: () -> HeldResources) {
    init {
        gauge("requests", "Requests without a final answer.") { held().requests }
        gauge("queued_requests", "Requests that wait for a slot of an upstream.") { held().queued }
        gauge("slots", "Slots of upstreams that this entry has taken.") { held().slots }
        gauge("attempts", "Attempts that may be running at upstreams.") { held().attempts }
        gauge("relayed_requests", "Requests that are under way by way of other entries.") { held().relayed }
        gauge("request_bytes", "Bytes reserved for bodies of requests.") { held().requestBytes }
        gauge("answer_bytes", "Bytes reserved for bodies of answers.") { held().answerBytes }
    }

    private fun gauge(name: String, help: String, value: () -> Number) {
        GaugeWithCallback.builder().name(PREFIX + name).help(help).callback { it.call(value().toDouble()) }
            .register(registry)
    }

    private companion object {
        const val PREFIX = "poplarwood_gateway_held_"
    }
}
