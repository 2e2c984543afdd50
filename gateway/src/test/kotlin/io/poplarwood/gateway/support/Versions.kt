package io.poplarwood.gateway.support

import io.poplarwood.gateway.store.StoreVersion

/** The store version [change] of the first era. */
internal fun storeVersion(change: Long) = StoreVersion(1, change)
