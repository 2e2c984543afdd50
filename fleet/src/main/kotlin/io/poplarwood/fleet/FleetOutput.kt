package io.poplarwood.fleet

import io.poplarwood.api.id.EntryRef
import io.poplarwood.fleet.message.FleetMessage
import io.poplarwood.fleet.store.StoreOperation

/** What a [FleetNode] asks its driver to do. */
sealed interface FleetOutput {
    /** Send [message] to the peer listener at [address]; [to] is null while the entry there is unknown. */
    data class Send(val address: String, val to: EntryRef?, val message: FleetMessage) : FleetOutput

    /** Perform [operation] and pass its answer to [FleetNode.answered] with [id]. */
    data class Perform(val id: Long, val operation: StoreOperation) : FleetOutput

    /** Tell the entry. */
    data class Notify(val event: FleetEvent) : FleetOutput
}
