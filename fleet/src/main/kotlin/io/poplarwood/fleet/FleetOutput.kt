package io.poplarwood.fleet

import io.poplarwood.api.id.EntryRef
import io.poplarwood.fleet.message.FleetMessage
import io.poplarwood.fleet.store.StoreOperation

/** An action that the driver of a [FleetNode] must execute. */
sealed interface FleetOutput {
    /** Sends [message] to the peer listener at [address]; [to] is null while the entry there is unknown. */
    data class Send(val address: String, val to: EntryRef?, val message: FleetMessage) : FleetOutput

    /** Performs [operation]; its result must be passed to [FleetNode.answered] with [id]. */
    data class Perform(val id: Long, val operation: StoreOperation) : FleetOutput

    /** Reports [event] to the entry. */
    data class Notify(val event: FleetEvent) : FleetOutput
}
