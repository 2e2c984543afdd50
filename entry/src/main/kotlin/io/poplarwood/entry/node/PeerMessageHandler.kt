package io.poplarwood.entry.node

import io.poplarwood.api.time.Ticker
import io.poplarwood.decision.crash.CrashReport
import io.poplarwood.decision.crash.CrashTable
import io.poplarwood.fleet.FleetRunner
import io.poplarwood.fleet.message.Peer
import io.poplarwood.peer.forward.OwnerForwarder
import io.poplarwood.peer.message.PeerMessage

/** Passes each message from a peer to the component that handles messages of its type. */
internal class PeerMessageHandler(
    private val services: ServiceRegistry,
    private val crashTable: CrashTable,
    private val ticker: Ticker,
    private val ownerForwarder: () -> OwnerForwarder?,
    private val fleet: () -> FleetRunner?,
) {
    /** Handles [message] from the verified peer [from]. */
    suspend fun receive(from: Peer, message: PeerMessage) {
        when (message) {
            is PeerMessage.Fleet -> fleet()?.receive(from, message.message)
            is PeerMessage.Slot -> services[message.service]?.receive(from.ref, message.message)
            is PeerMessage.CrashReport -> crashTable.merge(
                CrashReport(message.fingerprint, message.upstream),
                ticker.now(),
            )
            else -> ownerForwarder()?.receive(from, message)
        }
    }
}
