package io.poplarwood.entry.node

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.Zone
import io.poplarwood.entry.settings.HttpSettings
import io.poplarwood.fleet.directory.Directory
import io.poplarwood.fleet.recovery.StoreBudget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Settings of one [EntryNode].
 *
 * @property cell name of the cell
 * @property address IP address under which callers and peers reach this VM
 * @property peerHost IP address that the peer listener binds to
 * @property peerPort port of the peer listener; 0 selects any free port
 * @property secret shared secret of the cell
 * @property seeds `host:port` of peer listeners to contact besides those in the VM list
 * @property seat number of this entry, unique in the cell and below [StoreBudget.maxEntries]; probes that do not divide
 *   evenly go to the entries with the lowest numbers; null leaves these probes unused
 * @property drainTimeout longest time that a planned stop waits for requests in flight
 * @property advertisementLifetime time from the start of a planned stop during which callers may still hold this
 *   entry's address
 */
data class NodeSettings(
    val id: EntryId,
    val cell: String,
    val zone: Zone,
    val address: String,
    val http: HttpSettings,
    val peerHost: String,
    val peerPort: Int,
    val secret: ByteArray,
    val seeds: List<String> = emptyList(),
    val budget: StoreBudget = StoreBudget(),
    val seat: Int? = null,
    val drainTimeout: Duration = 5.minutes,
    val advertisementLifetime: Duration = Directory.LONGEST_LIFETIME,
)
