package io.poplarwood.fleet

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.ServiceName
import io.poplarwood.fleet.config.ChangeResult
import io.poplarwood.fleet.config.DocumentInForce
import kotlin.time.Duration

/** Events that a [FleetNode] reports to the entry. */
sealed interface FleetEvent {
    /** A document has come into force at this entry. */
    data class InForce(val document: DocumentInForce) : FleetEvent

    /** The members or their states changed. */
    data object MembersChanged : FleetEvent

    /** The upstreams of [service] or their states changed. */
    data class UpstreamsChanged(val service: ServiceName) : FleetEvent

    /** The entry may accept new requests ([fresh]) or must refuse these as `not-fresh`. */
    data class Freshness(val fresh: Boolean) : FleetEvent

    /** Result of the change [changeId] that an operator requested at this entry. */
    data class ChangeCompleted(val changeId: String, val result: ChangeResult) : FleetEvent

    /** The change is in force at every entry that accepts requests; [after] is the time since acceptance. */
    data class InForceEverywhere(val changeId: String, val sequence: Long, val after: Duration) : FleetEvent

    /** Other entries have declared this run gone; the entry continues under the new incarnation [self]. */
    data class Renamed(val self: EntryRef) : FleetEvent

    /** The process was paused for [gap]. */
    data class Paused(val gap: Duration) : FleetEvent
}
