package io.poplarwood.decision.once

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.outcome.RefusalReason

/** Where a request with a key is decided. */
sealed interface KeyRoute {
    /** At this entry: its present run owns [key]. */
    data class Local(val key: IssuedKey) : KeyRoute

    /** At [owner], through the peer link. */
    data class Forward(val owner: EntryRef) : KeyRoute

    /** Nowhere: the request may have run, and no entry may run it now. */
    data class Unknown(val reason: RefusalReason) : KeyRoute

    /** The caller made the key itself, so it has no owner until it is claimed in the table. */
    data object Claim : KeyRoute
}
