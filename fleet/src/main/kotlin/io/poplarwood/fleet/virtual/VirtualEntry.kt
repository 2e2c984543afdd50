package io.poplarwood.fleet.virtual

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.Zone
import io.poplarwood.fleet.FleetNode
import io.poplarwood.fleet.message.Peer

/** One entry of a [VirtualCell]. */
class VirtualEntry internal constructor(val id: EntryId, val address: String, val zone: Zone) {
    /** The node that runs now. */
    lateinit var node: FleetNode
        internal set

    /** True while the process does not run; what arrives waits. */
    var paused = false
        internal set

    /** True while no message passes in either direction. */
    var cutOff = false

    /** True while the entry does not reach the store. */
    var storeCut = false

    /** False once the VM is lost. */
    var alive = true
        internal set

    /** Grows with each restart, so that what was meant for the former run is not given to the new one. */
    internal var generation = 0
    internal val deferred = ArrayList<() -> Unit>()

    /** Bytes of the messages sent. */
    var bytesSent = 0L
        internal set

    /** Messages sent. */
    var messagesSent = 0L
        internal set

    /** This run as peers address it. */
    val peer: Peer get() = Peer(node.self, address)

    /** True when the entry takes new work now. */
    val takesWork: Boolean get() = alive && !paused && node.fresh
}
