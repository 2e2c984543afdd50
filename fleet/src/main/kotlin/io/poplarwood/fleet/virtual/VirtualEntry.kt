package io.poplarwood.fleet.virtual

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.Zone
import io.poplarwood.fleet.FleetNode
import io.poplarwood.fleet.message.Peer

/** One entry of a [VirtualCell]. */
class VirtualEntry internal constructor(val id: EntryId, val address: String, val zone: Zone) {
    /** The node of the current run. */
    lateinit var node: FleetNode
        internal set

    /** True while the process is suspended; inputs are deferred. */
    var paused = false
        internal set

    /** True while all messages from and to the entry are lost. */
    var partitioned = false

    /** True while the store is unreachable for the entry. */
    var storeUnreachable = false

    /** False after [VirtualCell.kill], until a restart. */
    var alive = true
        internal set

    /** Increases when the process is killed, so that inputs of a former run are not given to the new run. */
    internal var generation = 0

    /** Inputs that arrived while the process was suspended. */
    internal val deferred = ArrayList<() -> Unit>()

    /** Encoded size of all messages sent, in bytes; 0 unless the cell counts bytes. */
    var bytesSent = 0L
        internal set

    /** Number of messages sent. */
    var messagesSent = 0L
        internal set

    /** Current run and address, as used by other entries. */
    val peer: Peer get() = Peer(node.self, address)

    /** True while the entry accepts new requests. */
    val takesWork: Boolean get() = alive && !paused && node.fresh
}
