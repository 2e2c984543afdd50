package io.poplarwood.entry.metrics

import io.poplarwood.peer.link.PeerCounters
import io.poplarwood.peer.link.Rejection
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.Unit as MetricUnit

/** Metrics of the links between entries. */
class PeerMetrics(registry: PrometheusRegistry) : PeerCounters {
    private val rejections = Counter.builder()
        .name("poplarwood_peer_rejections")
        .help("Links refused or closed and messages dropped.")
        .labelNames("reason")
        .register(registry)
    private val traffic = Counter.builder()
        .name("poplarwood_peer_traffic")
        .help("Bytes on links between entries.")
        .unit(MetricUnit.BYTES)
        .labelNames("direction")
        .register(registry)
    private val rejectionCounters = Rejection.entries.map { rejections.labelValues(it.name.lowercase()) }
    private val sent = traffic.labelValues("sent")
    private val received = traffic.labelValues("received")

    override fun rejected(reason: Rejection) = rejectionCounters[reason.ordinal].inc()

    override fun sent(bytes: Int) = sent.inc(bytes.toDouble())

    override fun received(bytes: Int) = received.inc(bytes.toDouble())
}
