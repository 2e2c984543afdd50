package io.poplarwood.fleet.directory

import io.poplarwood.api.id.Zone

/** An entry that a caller may use; [keyPrefix] is `<entry>.<incarnation>`, the prefix of idempotency keys it owns. */
data class DirectoryEntry(val address: String, val zone: Zone, val keyPrefix: String)
