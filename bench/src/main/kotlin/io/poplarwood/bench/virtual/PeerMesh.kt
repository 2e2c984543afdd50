package io.poplarwood.bench.virtual

import io.poplarwood.api.id.EntryRef
import io.poplarwood.decision.routing.LeaseMessage
import kotlin.time.Duration

/**
 * Carries slot messages between entries with the delay that [oneWay] gives, and counts what it carries.
 *
 * Messages to or from an entry in [cut] are lost.
 */
class PeerMesh(private val loop: EventLoop, private val oneWay: (EntryRef, EntryRef) -> Duration) {
    private val receivers = HashMap<EntryRef, (EntryRef, LeaseMessage) -> Unit>()

    /** Entries without a link to any other. */
    val cut: MutableSet<EntryRef> = HashSet()

    /** Messages sent since the start. */
    var messages: Long = 0
        private set

    /** Bytes of the messages sent since the start, as [SlotMessageSize] counts them. */
    var bytes: Long = 0
        private set

    /** Delivers messages to [entry] through [receive]. */
    fun join(entry: EntryRef, receive: (EntryRef, LeaseMessage) -> Unit) {
        receivers[entry] = receive
    }

    /** Sends [message]; it arrives after the one-way delay. */
    fun send(from: EntryRef, to: EntryRef, message: LeaseMessage) {
        messages++
        bytes += SlotMessageSize.of(message)
        if (from in cut || to in cut) return
        loop.after(oneWay(from, to)) { if (to !in cut) receivers[to]?.invoke(from, message) }
    }
}
