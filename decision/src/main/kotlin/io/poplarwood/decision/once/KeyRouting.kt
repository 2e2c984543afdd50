package io.poplarwood.decision.once

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.outcome.RefusalReason

/**
 * Determines where a request with the key [text] is decided. Only the owner judges a key's age, by its own clock.
 *
 * @param self this run of this entry
 * @param hasEnded whether membership considers a run of an entry ended; an error costs an outcome `unknown` and never
 *   causes a second run
 */
fun routeKey(text: String, self: EntryRef, hasEnded: (EntryRef) -> Boolean): KeyRoute {
    val key = IssuedKey.parse(text) ?: return KeyRoute.Claim
    return routeToOwner(key, self, hasEnded)
}

/** Like [routeKey], for a key or a claim that names its owner. */
internal fun routeToOwner(key: IssuedKey, self: EntryRef, hasEnded: (EntryRef) -> Boolean): KeyRoute = when {
    key.owner == self -> KeyRoute.Local(key)
    // Another run under this entry's name has ended, whatever membership says.
    key.owner.id == self.id || hasEnded(key.owner) -> KeyRoute.Unknown(RefusalReason.KEY_OWNER_GONE)
    else -> KeyRoute.Forward(key.owner)
}
