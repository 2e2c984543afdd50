package io.poplarwood.fleet.lease

import io.poplarwood.api.id.EntryRef
import io.poplarwood.fleet.directory.Rendezvous

/**
 * Divides duties among entries. Views may differ, so a duty may be performed twice or, for a moment, by nobody;
 * whatever must not be performed twice is fenced by a conditional write.
 */
internal object Duties {
    /** The [count] of [present] that perform [duty]. */
    fun holders(duty: Duty, present: Collection<EntryRef>, count: Int): List<EntryRef> =
        Rendezvous.order(duty.name, present) { it.toString() }.take(count)
}
