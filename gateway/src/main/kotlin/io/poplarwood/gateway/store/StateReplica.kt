package io.poplarwood.gateway.store

import com.github.michaelbull.result.getOrElse
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.configuration.BackgroundWork
import io.poplarwood.gateway.configuration.Configuration
import io.poplarwood.gateway.configuration.ConfigurationHistory
import io.poplarwood.gateway.configuration.ConfigurationVersion
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.route.DesiredState
import io.poplarwood.gateway.route.RouteTable
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.coroutines.CompletableDeferred
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * This entry's copy of the store: the desired state in force and the registered upstreams. Updates from the store and
 * from peers are treated alike and never replace newer data.
 *
 * @param background where desired states are decoded, which takes long when there are many routes
 * @param onChanged called after each change
 * @param onUnavailable called with each upstream that receives no more requests
 * @param registrationExpiry time after which the registration of an upstream that has ended is gone
 * @param onEnded called with each upstream whose incarnation has ended, whether it announced this or not
 */
internal class StateReplica(
    private val codec: StateCodec,
    private val upstreams: UpstreamTable,
    background: BackgroundWork,
    private val ticker: Ticker,
    private val log: EventLog,
    private val onChanged: () -> Unit,
    private val onUnavailable: (UpstreamRow) -> Unit,
    private val registrationExpiry: Duration = DEFAULT_REGISTRATION_EXPIRY,
    private val onEnded: (UpstreamRow) -> Unit = {},
) {
    private val upstreamRows = TreeMap<String, StoredRow>()
    private val pendingRemovals = PendingRemovals()
    private val removedVersions = RecentVersions(MAX_REMOVED_VERSIONS)
    private val returning = ReturningRegistrations(registrationExpiry)
    private var newestSeen = StoreVersion.NONE

    /** Called when the store has come back from an older copy. */
    var onRestored: () -> Unit = {}

    /** The desired state in force and those before it. */
    val history = ConfigurationHistory()

    /** What is known about the age of [state]. */
    val freshness: ConfigurationFreshness = ConfigurationFreshness()

    private val decoder = DesiredStateDecoder(codec, background, history, freshness, ticker, log)

    /** The desired state in force; null until the first one has arrived. */
    val state: DesiredState? get() = history.newest?.state

    /** Routes of [state]; empty until the first one has arrived. */
    val routes: RouteTable get() = state?.routes ?: RouteTable.EMPTY

    /** Version of [state]; [ConfigurationVersion.NONE] until there is one. */
    val stateVersion: ConfigurationVersion get() = history.newest?.version ?: ConfigurationVersion.NONE

    private val versions = RegistrationVersions()

    /** Store version of the newest change of a registration. */
    val upstreamVersion: StoreVersion get() = versions.newest

    /** Store version up to which every registration has arrived. */
    val coveredVersion: StoreVersion get() = versions.covered

    /** Store version from which to [coveredVersion] no registration changed or was removed. */
    val unchangedSince: StoreVersion get() = versions.unchangedSince

    /** When this entry or a peer last confirmed that the registrations are the newest. */
    var confirmedAt: Duration = -Duration.INFINITE
        private set

    /** Completed once a desired state and the registrations have arrived. */
    val initialized = CompletableDeferred<Unit>()

    /** Until this time a missing registration may come back, because the store was unreachable lately. */
    var expiryGraceUntil: Duration = -Duration.INFINITE

    /** Records that the store, or a row of it, had [version]. */
    fun observe(version: StoreVersion) {
        val before = newestSeen
        newestSeen = maxOf(before, version)
        if (before == StoreVersion.NONE || !version.isOfLaterEraThan(before)) return
        log.log(GatewayEvent.STORE_RESTORED, before, version)
        // What upstreams wrote since the copy is written again.
        expiryGraceUntil = ticker.now() + RESTORE_GRACE
        onRestored()
    }

    /** Decodes the rows of the desired state in the background and applies what is newer than the current one. */
    suspend fun applyStateRows(rows: RowSnapshot, source: String) {
        observe(rows.version)
        for (row in rows.rows) {
            val value = row.value
            if (value != null && row.version > freshness.acceptedVersion) {
                decoder.decode(row, value, source)?.let { applyState(it, source) }
            }
        }
    }

    /** Applies [next] unless it is older than the current desired state. */
    fun applyState(next: Configuration, source: String) {
        freshness.accept(next.version.row)
        if (next.version <= stateVersion) return
        history.add(next)
        log.log(
            GatewayEvent.STATE_IN_FORCE,
            next.state.version,
            next.state.routes.size,
            source,
            next.version.row,
        )
        notifyChanged()
    }

    /**
     * Applies a full set of registrations; those that are missing have been removed.
     *
     * @param newest store version of the newest change among the registrations, when it is known; a removal leaves no
     * row
     */
    fun applyAllUpstreams(rows: RowSnapshot, source: String, newest: StoreVersion? = null) {
        if (rows.version < coveredVersion) return
        observe(rows.version)
        val isFirst = upstreamVersion == StoreVersion.NONE
        for (row in rows.rows) applyUpstream(row, source, logged = !isFirst)
        if (isFirst) logFirst(rows, source)
        val present = rows.rows.mapTo(HashSet()) { it.key }
        val missing = upstreamRows.values.filter { it.key !in present && it.version <= rows.version }.map { it.key }
        missing.forEach { handleRemoval(it, rows.version, source) }
        val removalVersion = if (missing.isEmpty()) StoreVersion.NONE else rows.version
        versions.listed(rows.version)
        advanceVersions(rows, newest ?: maxOf(removalVersion, rows.newestRow))
    }

    /**
     * Applies the first registrations that changed after version [after]. Returns false when earlier changes are
     * missing here: the rows are applied nevertheless, but [coveredVersion] does not advance.
     *
     * @param newest store version of the newest change among the registrations, when it is known
     */
    fun applyUpstreamChanges(
        rows: RowSnapshot,
        after: StoreVersion,
        source: String,
        newest: StoreVersion? = null,
    ): Boolean {
        observe(rows.version)
        // An older row that the list of all registrations did not have was removed before.
        for (row in rows.rows) if (row.version > versions.listedAt) applyUpstream(row, source)
        val complete = after <= coveredVersion
        if (complete) advanceVersions(rows, newest ?: rows.newestRow) else onChanged()
        return complete
    }

    /** Records that no registration changed up to [version]. */
    fun advanceCoveredVersion(version: StoreVersion) = versions.cover(version)

    /** Logs the first registrations in one line, since one line each takes much of the processor time of a start. */
    private fun logFirst(rows: RowSnapshot, source: String) {
        val draining = upstreams.all.count { it.record.draining }
        log.log(GatewayEvent.UPSTREAMS_READ, rows.rows.size, upstreams.all.size, draining, source, rows.version)
    }

    private fun advanceVersions(rows: RowSnapshot, newest: StoreVersion) {
        versions.cover(rows.version)
        if (versions.changed(newest)) notifyChanged()
    }

    /** Records that the registrations were confirmed to be the newest at [at]. */
    fun confirm(at: Duration) {
        if (at > confirmedAt) confirmedAt = at
    }

    /**
     * Removes registrations that expired around an outage of the store and did not come back, and uses those that came
     * back with an older copy and did not expire.
     */
    fun checkExpiry() {
        for (key in returning.releaseDue(confirmedAt)) {
            val row = upstreamRows[key] ?: continue
            row.value?.let { use(row, it, null, logged = true) }
            onChanged()
        }
        pendingRemovals.takeDue(ticker.now()).forEach { remove(it, "lapsed", upstreamVersion) }
    }

    /** Up to [limit] registrations in the order of their keys, beginning behind the key [after]. */
    fun upstreamPage(after: String, limit: Int): List<StoredRow> =
        upstreamRows.tailMap(after, false).values.take(limit)

    /**
     * The registrations that changed or were removed after store version [covered]; null when removals of that time are
     * not known, or no longer.
     */
    fun upstreamChanges(covered: StoreVersion): List<StoredRow>? {
        val removalsKnownAfter = maxOf(versions.listedAt, removedVersions.droppedUpTo)
        if (covered < removalsKnownAfter || covered == StoreVersion.NONE) return null
        val removed = removedVersions.after(covered).filterKeys { it !in upstreamRows }
        return upstreamRows.values.filter { it.version > covered } +
            removed.map { (key, at) -> StoredRow(key, null, at) }
    }

    private fun notifyChanged() {
        if (state != null && upstreamVersion > StoreVersion.NONE) initialized.complete(Unit)
        onChanged()
    }

    private fun applyUpstream(row: StoredRow, source: String, logged: Boolean = true) {
        // Late news of an era whose changes may be lost; what is not lost has come with the later era.
        if (coveredVersion.isOfLaterEraThan(row.version)) return
        val current = upstreamRows[row.key]
        if (maxOf(current?.version ?: StoreVersion.NONE, removedVersions[row.key]) >= row.version) return
        val value = row.value ?: return handleRemoval(row.key, row.version, source)
        upstreamRows[row.key] = row
        val wasInUse = pendingRemovals.cancel(row.key) || current != null
        if (!wasInUse && cameBackWithCopy(row)) return returning.hold(row.key, ticker.now())
        returning.release(row.key)
        use(row, value, current, logged)
    }

    private fun cameBackWithCopy(row: StoredRow): Boolean {
        val removed = removedVersions[row.key]
        return removed != StoreVersion.NONE && row.version.isOfLaterEraThan(removed)
    }

    private fun use(row: StoredRow, value: ByteArray, current: StoredRow?, logged: Boolean) {
        val record = codec.upstream(row.key, value).getOrElse {
            log.log(GatewayEvent.UPSTREAM_UNREADABLE, row.key, it.detail)
            upstreams.remove(row.key)?.let(onUnavailable)
            return
        }
        val before = upstreams[row.key]?.record
        // An older copy may say that an upstream is ready which has announced since that it is draining.
        val isOfLaterEra = current != null && row.version.isOfLaterEraThan(current.version)
        if (isOfLaterEra && before?.draining == true) {
            upstreams.markDraining(before.id, before.startMs, ticker.now())
        }
        if (before == null && logged) upstreams.withAddress(record.address).forEach(onEnded)
        upstreams.put(record, ticker.now())?.let {
            onUnavailable(it)
            onEnded(it)
        }
        val changed = before?.draining != record.draining || before.address != record.address
        if (changed && (logged || record.draining)) {
            log.log(
                GatewayEvent.UPSTREAM_KNOWN,
                row.key,
                record.service,
                record.address,
                record.draining,
                row.version,
            )
        }
        if (record.draining) upstreams[row.key]?.let(onUnavailable)
    }

    private fun handleRemoval(key: String, version: StoreVersion, source: String) {
        removedVersions[key] = version
        returning.release(key)
        if (upstreamRows.remove(key) == null) return
        val row = upstreams[key] ?: return
        val now = ticker.now()
        val answeredLately = now - row.lastAnswerAt < RECENT_ANSWER
        if (now < expiryGraceUntil && answeredLately && !row.record.draining) {
            pendingRemovals.add(key, now)
        } else {
            remove(key, "removed, update of $source", version)
        }
    }

    private fun remove(key: String, reason: String, version: StoreVersion) {
        val row = upstreams.remove(key) ?: return
        log.log(GatewayEvent.UPSTREAM_GONE, key, row.record.service, reason, version)
        onUnavailable(row)
        onEnded(row)
    }

    private companion object {
        val RECENT_ANSWER = 3_000.milliseconds

        /** Upstreams have written again what a restored store lost by then. */
        val RESTORE_GRACE = 4_000.milliseconds
        val DEFAULT_REGISTRATION_EXPIRY = 5_500.milliseconds

        /** Number of removed registrations whose versions are kept, so that late updates do not restore them. */
        const val MAX_REMOVED_VERSIONS = 2_000
    }
}
