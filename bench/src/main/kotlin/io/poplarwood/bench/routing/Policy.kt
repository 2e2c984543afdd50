package io.poplarwood.bench.routing

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Zone
import io.poplarwood.bench.virtual.VirtualCell
import io.poplarwood.decision.routing.LeaseMessage
import io.poplarwood.decision.routing.Router

/** A way to choose upstreams, with the router that each entry of a cell gets for it. */
class Policy(
    val name: String,
    val router: (VirtualCell, EntryRef, Zone, (EntryRef, LeaseMessage) -> Unit) -> Router,
)
