package io.poplarwood.bench.virtual

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.decision.routing.AttemptResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO

/**
 * Carries requests between zones and upstreams with a fixed delay.
 *
 * @property betweenZones one-way delay between two zones
 * @property withinZone one-way delay within a zone
 */
class FakeNetwork(
    private val loop: EventLoop,
    val upstreams: List<FakeUpstream>,
    val betweenZones: Duration,
    val withinZone: Duration = ZERO,
) {
    private val byId = upstreams.associateBy { it.view.id }

    /** One-way delay from [from] to [to]. */
    fun oneWay(from: Zone, to: Zone): Duration = if (from == to) withinZone else betweenZones

    /** Reading of the clock. */
    fun now(): Duration = loop.now()

    /** The upstream called [id]. */
    fun upstream(id: UpstreamId): FakeUpstream = byId.getValue(id)

    /** Sends a request of [size] from [from] to [to]; calls [done] at the sender's side when the response arrives. */
    fun request(from: Zone, to: UpstreamId, size: Double = 1.0, done: (AttemptObservation) -> Unit) {
        val sent = loop.now()
        val target = byId[to] ?: return done(AttemptObservation(AttemptResult.CONNECT_FAILED, ZERO))
        val delay = oneWay(from, target.view.zone)
        loop.after(delay) {
            target.arrive(size) { result ->
                val load = target.inFlight
                loop.after(delay) { done(AttemptObservation(result, loop.now() - sent, load, target.view.slots)) }
            }
        }
    }
}
