package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.route.Route
import kotlin.time.Duration

/** What is logged and counted of one request; filled in as it goes. */
internal class RequestReport(val id: String?, val arrived: Duration) {
    var route: Route? = null
    var service: String? = null
    var stateVersion: Long = 0

    /** Which requests count as the same one when upstreams are lost under it. */
    var fingerprint: Long = 0
    var waited: Duration = Duration.ZERO
    val attempts = ArrayList<Attempt>(2)
    var outcome: Outcome = Outcome.FAILED
    var status: Int = 0
}
