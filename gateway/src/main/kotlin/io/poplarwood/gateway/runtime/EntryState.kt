package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.decision.crash.CrashSuspects
import io.poplarwood.gateway.directory.OwnEntry
import io.poplarwood.gateway.peer.ActiveEntries
import io.poplarwood.gateway.peer.PeerRecord
import io.poplarwood.gateway.peer.PeerTable
import io.poplarwood.gateway.settings.GatewaySettings
import io.poplarwood.gateway.store.StateCodec
import io.poplarwood.gateway.store.StateReplica
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable

/**
 * What one entry knows: upstreams, other entries, the configuration, and requests that crash upstreams.
 *
 * @param ownEntry describes this entry
 * @param onStateChanged called after each change of the configuration or the registrations
 * @param onLoadChanged called with an upstream whose load other entries have to learn
 * @param onUpstreamEnded called with an upstream that ended without a notice
 * @param closeIdle closes the idle connections to an upstream
 */
internal class EntryState(
    settings: GatewaySettings,
    codec: StateCodec,
    runtime: ProcessRuntime,
    ownEntry: () -> OwnEntry,
    onStateChanged: () -> Unit,
    onLoadChanged: (UpstreamRow) -> Unit,
    onUpstreamEnded: (UpstreamRow) -> Unit,
    closeIdle: (UpstreamRow) -> Unit,
) {
    val upstreams = UpstreamTable()
    val availability = AvailabilityTracker(upstreams, runtime.random, runtime.log, onLoadChanged, closeIdle)
    val crashSuspects = CrashSuspects()
    val replica = StateReplica(
        codec,
        upstreams,
        runtime.background,
        runtime.ticker,
        runtime.log,
        onStateChanged,
        closeIdle,
        settings.store.registrationExpiry,
        onUpstreamEnded,
    )
    val peers = PeerTable(settings.entry)

    /** How other entries reach this one. */
    val record =
        PeerRecord(
            settings.zone,
            settings.listen.callers,
            settings.listen.peers,
            EntryCapacity.of(settings.limits),
            settings.listen.relay,
        )
    val activeEntries = ActiveEntries(settings.entry, record, peers, ownEntry)
}
