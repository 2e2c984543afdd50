package io.poplarwood.fleet

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.ServiceName
import io.poplarwood.fleet.config.ChangeResult
import io.poplarwood.fleet.config.DocumentInForce
import kotlin.time.Duration

/** What the entry learns from its [FleetNode]. */
sealed interface FleetEvent {
    /** A document came into force here. */
    data class InForce(val document: DocumentInForce) : FleetEvent

    /** The members or their states changed. */
    data object MembersChanged : FleetEvent

    /** The upstreams of [service] or their states changed. */
    data class UpstreamsChanged(val service: ServiceName) : FleetEvent

    /** The entry may take new work ([fresh]) or must refuse it as `not-fresh`. */
    data class Freshness(val fresh: Boolean) : FleetEvent

    /** Outcome of the change that an operator sent here as [changeId]. */
    data class ChangeSettled(val changeId: String, val result: ChangeResult) : FleetEvent

    /** The change is in force at every entry that takes work, [after] its acceptance. */
    data class InForceEverywhere(val changeId: String, val sequence: Long, val after: Duration) : FleetEvent

    /** The others hold this run for gone; the entry continues under the new incarnation [self]. */
    data class Renamed(val self: EntryRef) : FleetEvent

    /** The process was paused for [gap]. */
    data class Paused(val gap: Duration) : FleetEvent
}
