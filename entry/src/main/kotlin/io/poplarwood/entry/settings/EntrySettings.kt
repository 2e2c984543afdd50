package io.poplarwood.entry.settings

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.Zone
import io.poplarwood.platform.http.PlatformSettings
import kotlinx.serialization.Serializable

/**
 * Settings of one entry process.
 *
 * @property cell name of the cell that the entry belongs to
 * @property callersAdvertised `host:port` at which callers reach [callers]
 * @property maxEntries largest number of entries that the cell will ever have at once; each entry's share of the
 *   budgets is derived from it
 * @property drainBoundMs longest time a planned stop waits for requests in flight, in milliseconds
 */
@Serializable
data class EntrySettings(
    val entry: EntryId,
    val cell: String,
    val zone: Zone,
    val callers: HttpSettings,
    val callersAdvertised: String,
    val operators: OperatorListener,
    val peers: PeerListener,
    val platform: PlatformSettings,
    val maxEntries: Int = 64,
    val drainBoundMs: Long = 60_000,
)
