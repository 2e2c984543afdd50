package io.poplarwood.gateway.metrics

import io.poplarwood.gateway.http.AnswerMatch
import io.poplarwood.gateway.limit.PermitEvent
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.relay.RelayEvent
import io.poplarwood.gateway.route.RouteProblemType
import io.poplarwood.gateway.runtime.Outcome
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.Unit
import org.slf4j.event.Level
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Metrics of a gateway; docs/gateway-metrics.md lists them. */
internal class GatewayMetrics(private val registry: PrometheusRegistry = PrometheusRegistry()) {
    private val requests = counter("poplarwood_gateway_requests", "Requests by how they ended.", "outcome")
    private val retries = counter("poplarwood_gateway_repeats", "Further attempts by reason.", "reason")
    private val connections = counter("poplarwood_gateway_upstream_connections", "Connections opened to upstreams.")
    private val answers = counter(
        "poplarwood_gateway_upstream_answers",
        "Answers of upstreams, by how they were matched to a request.",
        "match",
    )
    private val repeatedIds = counter(
        "poplarwood_gateway_repeated_ids",
        "Idle connections to upstreams that were not used for a request because they had carried its id.",
    )
    private val droppedAnswers = counter(
        "poplarwood_gateway_dropped_answers",
        "Answers of upstreams that were dropped because the memory for answers was full.",
    )
    private val relays = counter(
        "poplarwood_gateway_relays",
        "Requests sent by way of other entries, and received from them, by what became of them.",
        "event",
    )
    private val cutServices = Gauge.builder().name("poplarwood_gateway_cut_off_services")
        .help("Services whose upstreams this entry cannot reach while others do.").register(registry)
    private val errors = counter(
        "poplarwood_gateway_errors",
        "Failures of the entry itself, by the event that was logged; each one is a fault.",
        "event",
    )
    private val probes = counter("poplarwood_gateway_probes", "Questions to upstreams for their load.")
    private val permits =
        counter(
            "poplarwood_gateway_permits",
            "Permits for upstreams with a rate limit, by what became of them.",
            "event",
        )
    private val malformedDatagrams =
        counter("poplarwood_gateway_malformed_datagrams", "Datagrams of other entries that could not be decoded.")
    private val datagramsSent = counter("poplarwood_gateway_datagrams_sent", "Datagrams sent to other entries.", "kind")
    private val datagramsReceived =
        counter("poplarwood_gateway_datagrams_received", "Datagrams received from other entries.", "kind")
    private val datagramBytesSent =
        counter("poplarwood_gateway_datagram_bytes_sent", "Bytes of datagrams sent to other entries.", "kind")
    private val datagramBytesReceived =
        counter("poplarwood_gateway_datagram_bytes_received", "Bytes of datagrams received from other entries.", "kind")
    private val transfers = counter(
        "poplarwood_gateway_configuration_transfers",
        "Transfers of configuration changes between entries, by what became of them.",
        "event",
    )
    private val transferBytes =
        counter("poplarwood_gateway_configuration_bytes", "Bytes of configuration changes sent and received.", "event")
    private val latency = Histogram.builder().name("poplarwood_gateway_latency").unit(Unit.SECONDS)
        .help("Time from a request's head to its answer.").labelNames("priority").classicOnly()
        .classicUpperBounds(*LATENCY_BOUNDS_S).register(registry)
    private val routeProblems = Gauge.builder().name("poplarwood_gateway_route_problems")
        .help("Routes in force that are understood only in part, by problem.").labelNames("problem").register(registry)
    private val routeProblemsByType = RouteProblemType.entries.map { routeProblems.labelValues(it.name.lowercase()) }
    private val requestsByOutcome = Outcome.entries.map { requests.labelValues(it.label) }
    private val retriesByReason = RetryReason.entries.map { retries.labelValues(it.name.lowercase()) }

    private val answersByMatch = AnswerMatch.entries.map { answers.labelValues(it.name.lowercase()) }
    private val relaysByEvent = RelayEvent.entries.map { relays.labelValues(it.name.lowercase()) }
    private val errorsByEvent = GatewayEvent.entries.filter { it.level == Level.ERROR }
        .associate { it.id to errors.labelValues(it.id) }

    private val permitsByEvent = PermitEvent.entries.map { permits.labelValues(it.name.lowercase()) }

    private val transfersByEvent = TransferEvent.entries.map { transfers.labelValues(it.name.lowercase()) }
    private val transferBytesByEvent = listOf(TransferEvent.SENT, TransferEvent.RECEIVED)
        .associateWith { transferBytes.labelValues(it.name.lowercase()) }

    private val datagramsSentByKind = byKind(datagramsSent)
    private val datagramsReceivedByKind = byKind(datagramsReceived)
    private val datagramBytesSentByKind = byKind(datagramBytesSent)
    private val datagramBytesReceivedByKind = byKind(datagramBytesReceived)

    /** Counts a datagram of [bytes] that is sent to each of [receivers] entries. */
    fun datagramSent(kind: DatagramKind, bytes: Int, receivers: Int) {
        datagramsSentByKind[kind.ordinal].inc(receivers.toDouble())
        datagramBytesSentByKind[kind.ordinal].inc(bytes.toDouble() * receivers)
    }

    /** Counts a datagram of [bytes] from another entry. */
    fun datagramReceived(kind: DatagramKind, bytes: Int) {
        datagramsReceivedByKind[kind.ordinal].inc()
        datagramBytesReceivedByKind[kind.ordinal].inc(bytes.toDouble())
    }

    private fun byKind(counter: Counter) = DatagramKind.entries.map { counter.labelValues(it.name.lowercase()) }

    /** Counts a datagram of another entry that cannot be decoded. */
    fun datagramMalformed() = malformedDatagrams.inc()

    /** Counts a transfer of [bytes] of a configuration change, and what became of it. */
    fun transferred(event: TransferEvent, bytes: Int = 0) {
        transfersByEvent[event.ordinal].inc()
        transferBytesByEvent[event]?.inc(bytes.toDouble())
    }

    /** The configuration's status, asked for at each scrape. */
    var configuration: () -> ConfigurationStatus = { ConfigurationStatus.NONE }

    /** What the requests in flight hold, asked for at each scrape. */
    var held: () -> HeldResources = { HeldResources() }

    init {
        ConfigurationMetrics(registry) { configuration() }
        HeldResourceMetrics(registry) { held() }
    }

    /** Counts what became of a permit. */
    fun permitChanged(event: PermitEvent) = permitsByEvent[event.ordinal].inc()

    /** Counts a request that ended with [outcome], [took] after its head arrived. */
    fun requestEnded(outcome: Outcome, priority: Int, took: Duration) {
        requestsByOutcome[outcome.ordinal].inc()
        latency.labelValues(priority.toString()).observe(took.toDouble(DurationUnit.SECONDS))
    }

    /** Counts an attempt beyond the first of its request. */
    fun retryStarted(reason: RetryReason) = retriesByReason[reason.ordinal].inc()

    /** Counts a connection opened to an upstream. */
    fun connectionOpened() = connections.inc()

    /** Counts an answer of an upstream that was matched as [match] says. */
    fun answerMatched(match: AnswerMatch) = answersByMatch[match.ordinal].inc()

    /** Counts a connection that was not used for a request because it had carried its id. */
    fun idRepeated() = repeatedIds.inc()

    /** Counts an answer of an upstream that was dropped because the memory for answers was full. */
    fun answerDropped() = droppedAnswers.inc()

    /** Counts what became of a request that is sent by way of another entry. */
    fun relayed(event: RelayEvent) = relaysByEvent[event.ordinal].inc()

    /** Records the number of services that this entry is cut off from. */
    fun cutOffFrom(services: Int) = cutServices.set(services.toDouble())

    /** Number of events of level `ERROR` that were logged. */
    val errorCount: Long get() = errorsByEvent.values.sumOf { it.longValue }

    /** Counts an event of level `ERROR` that was logged as [event]. */
    fun errorLogged(event: String) = errorsByEvent.getValue(event).inc()

    /** Counts a load probe of an upstream. */
    fun probeSent() = probes.inc()

    /** Records that [count] routes of the desired state in force have a problem of [type]. */
    fun routeProblemsInForce(type: RouteProblemType, count: Int) =
        routeProblemsByType[type.ordinal].set(count.toDouble())

    /** All metrics in the Prometheus text format. */
    fun text(): ByteArray {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toByteArray()
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)

    private companion object {
        /** Upper bounds of the latency buckets, in seconds. */
        val LATENCY_BOUNDS_S = doubleArrayOf(0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 5.0, 10.0)
    }
}

/** Why a request was sent to a further upstream. The names in lower case are values of the `reason` label. */
internal enum class RetryReason { SHED, OTHER_UPSTREAM, NOT_SENT, LOST, FAILED, SLOW }
