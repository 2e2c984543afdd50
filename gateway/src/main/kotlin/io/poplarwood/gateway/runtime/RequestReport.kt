package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.route.Route
import kotlin.time.Duration

/** Data of one request for its log line and the metrics; filled in while the request is processed. */
internal class RequestReport(val id: String?, val arrivedAt: Duration) {
    var route: Route? = null
    var service: String? = null
    var stateVersion: Long = 0

    /** Requests with equal fingerprints count as the same one when upstreams are lost while they run it. */
    var fingerprint: Long = 0

    /** Time from the arrival of the request until it got a slot or was refused. */
    var queuedFor: Duration = Duration.ZERO

    /** Staleness of the configuration when the request was last sent, or judged, in milliseconds; null if unknown. */
    var confirmedMs: Long? = null
    val attempts = ArrayList<Attempt>(2)

    /** Ids of the upstreams that this entry has sent the request to, whether they ran it or not. */
    val sentTo: Set<String> get() = attempts.filter { it.wasSent }.mapTo(LinkedHashSet()) { it.row.id }

    /** The entries by way of which the request was sent, and what became of that, for the log. */
    val hops = ArrayList<String>(0)
    var outcome: Outcome = Outcome.FAILED
    var status: Int = 0
}
