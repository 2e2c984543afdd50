package io.poplarwood.gateway.metrics

import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.Unit
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Metrics of the configuration's age. They are read when they are scraped, because age grows without any event. */
internal class ConfigurationMetrics(private val registry: PrometheusRegistry, status: () -> ConfigurationStatus) {
    init {
        gauge("version", "Version of the desired state in force.") { status().version.toDouble() }
        gauge("store_version", "Store version of the desired state in force, within its era.") {
            status().storeVersion.change.toDouble()
        }
        gauge("store_era", "Era of the store version of the desired state in force.") {
            status().storeVersion.era.toDouble()
        }
        seconds("staleness", "Time since the newest version was last confirmed.") { status().staleness }
        seconds("behind", "Time since a newer version than the one in force is known.") { status().behindFor }
        CounterWithCallback.builder().name(PREFIX + "unreadable").help("Versions that could not be decoded.")
            .callback { it.call(status().unreadableCount.toDouble()) }.register(registry)
    }

    private fun gauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(PREFIX + name).help(help).callback { it.call(value()) }.register(registry)
    }

    private fun seconds(name: String, help: String, value: () -> Duration) {
        GaugeWithCallback.builder().name(PREFIX + name).unit(Unit.SECONDS).help(help)
            .callback { it.call(value().toDouble(DurationUnit.SECONDS)) }.register(registry)
    }

    private companion object {
        const val PREFIX = "poplarwood_gateway_configuration_"
    }
}
