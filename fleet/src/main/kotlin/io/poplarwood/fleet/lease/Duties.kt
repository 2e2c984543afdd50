package io.poplarwood.fleet.lease

import io.poplarwood.api.id.EntryRef
import io.poplarwood.fleet.directory.Rendezvous

/**
 * Assigns duties to entries by rendezvous hashing. Entries may know different members, so a duty may temporarily have
 * more holders than intended, or none. Actions that must not be performed twice are fenced by a conditional write.
 */
internal object Duties {
    /** The [count] entries of [present] that perform [duty]. */
    fun holders(duty: Duty, present: Collection<EntryRef>, count: Int): List<EntryRef> =
        Rendezvous.order(duty.name, present) { it.toString() }.take(count)
}
