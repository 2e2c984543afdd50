package io.poplarwood.entry.node

import io.poplarwood.decision.routing.UpstreamState
import io.poplarwood.decision.routing.UpstreamView
import io.poplarwood.fleet.upstream.FleetUpstream
import io.poplarwood.fleet.upstream.FleetUpstreamState

/** The upstream as routers see it. A router ramps up the load on an upstream that it sees for the first time. */
internal fun FleetUpstream.toUpstreamView(): UpstreamView {
    val live = state == FleetUpstreamState.LIVE
    return UpstreamView(id, zone, slots, connectionLimit, if (live) UpstreamState.LIVE else UpstreamState.LEAVING)
}
