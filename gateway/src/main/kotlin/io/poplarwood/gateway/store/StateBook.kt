package io.poplarwood.gateway.store

import com.github.michaelbull.result.getOrElse
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.route.DesiredState
import io.poplarwood.gateway.route.RouteTable
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.coroutines.CompletableDeferred
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What this entry knows of the store: the desired state in force and the upstreams. News from the store and from peers
 * is taken in alike, and never replaces what is newer.
 *
 * @param gone told of each upstream that takes no more work
 */
internal class StateBook(
    private val codec: StateCodec,
    private val upstreams: UpstreamTable,
    private val ticker: Ticker,
    private val log: EventLog,
    private val changed: () -> Unit,
    private val gone: (UpstreamRow) -> Unit,
) {
    private val upstreamRows = LinkedHashMap<String, StoredRow>()
    private val lapsing = HashMap<String, Duration>()
    private val removedAt = RecentVersions(REMOVED_KEPT)
    private var stateRow: StoredRow? = null

    /** The desired state in force; null until one is known. */
    var state: DesiredState? = null
        private set

    /** Routes of [state]. */
    var routes: RouteTable = RouteTable(emptyList())
        private set

    /** Store versions of the newest row of the desired state and of the newest registration that are known. */
    var stateVersion: Long = 0
        private set
    var upstreamVersion: Long = 0
        private set

    /** Store version up to which every registration is known. */
    var coveredVersion: Long = 0
        private set

    /** When the registrations were known to be the newest, by this entry or by a peer that told. */
    var confirmedAt: Duration = -Duration.INFINITE
        private set

    /** Completed once a desired state and the registrations are known. */
    val known = CompletableDeferred<Unit>()

    /** Until when a registration that vanishes may come back: the store was away lately. */
    var lapseUntil: Duration = -Duration.INFINITE

    /** Takes in the row of the desired state. */
    fun takeState(rows: Rows, source: String) {
        for (row in rows.rows) {
            val value = row.value
            if (value != null && row.version > stateVersion) takeState(row, value, source)
        }
    }

    /**
     * Takes in all registrations that there are; those that are missing have been removed.
     *
     * @param newest store version of the newest change among them, when it is known; a removal leaves no row
     */
    fun takeAllUpstreams(rows: Rows, source: String, newest: Long? = null) {
        if (rows.version < coveredVersion) return
        for (row in rows.rows) takeUpstream(row, source)
        val present = rows.rows.mapTo(HashSet()) { it.key }
        val missing = upstreamRows.keys.filter { it !in present }
        missing.forEach { vanished(it, rows.version, source) }
        val removal = if (missing.isEmpty()) 0 else rows.version
        covered(rows, newest ?: maxOf(removal, newestOf(rows)))
    }

    /**
     * Takes in registrations, the first ones that changed after version [after]. False when changes before these are
     * missing here: the rows hold all the same, but not all up to their version are known.
     */
    fun takeChangedUpstreams(rows: Rows, after: Long, source: String): Boolean {
        for (row in rows.rows) takeUpstream(row, source)
        val complete = after <= coveredVersion
        if (complete) covered(rows, newestOf(rows)) else changed()
        return complete
    }

    /** Notes that no registration changed up to [version]. */
    fun coverTo(version: Long) {
        coveredVersion = maxOf(coveredVersion, version)
    }

    private fun newestOf(rows: Rows): Long = rows.rows.maxOfOrNull { it.version } ?: 0

    private fun covered(rows: Rows, newest: Long) {
        coveredVersion = maxOf(coveredVersion, rows.version)
        if (newest <= upstreamVersion) return
        upstreamVersion = newest
        learnt()
    }

    /** Notes that what is known was the newest at [at]. */
    fun confirm(at: Duration) {
        if (at > confirmedAt) confirmedAt = at
    }

    /** Drops registrations that vanished around an outage of the store and did not come back. */
    fun tick() {
        if (lapsing.isEmpty()) return
        val now = ticker.now()
        lapsing.filterValues { it <= now }.keys.toList().forEach {
            lapsing.remove(it)
            drop(it, "lapsed", upstreamVersion)
        }
    }

    /** All that is known, for a peer: the desired state's row and the registrations. */
    fun snapshot(): Pair<StoredRow?, List<StoredRow>> = stateRow to upstreamRows.values.toList()

    private fun learnt() {
        if (state != null && upstreamVersion > 0) known.complete(Unit)
        changed()
    }

    private fun takeState(row: StoredRow, value: ByteArray, source: String) {
        val next = codec.desiredState(value).getOrElse {
            log.log(GatewayEvent.STATE_UNREADABLE, it.detail, row.version)
            return
        }
        if (next.version < (state?.version ?: 0)) return
        stateRow = row
        stateVersion = row.version
        state = next
        routes = RouteTable(next.routes)
        log.log(GatewayEvent.STATE_IN_FORCE, next.version, next.routes.size, source, row.version)
        learnt()
    }

    private fun takeUpstream(row: StoredRow, source: String) {
        val known = upstreamRows[row.key]
        if (maxOf(known?.version ?: 0, removedAt[row.key]) >= row.version) return
        val value = row.value ?: return vanished(row.key, row.version, source)
        upstreamRows[row.key] = row
        lapsing.remove(row.key)
        val record = codec.upstream(row.key, value).getOrElse {
            log.log(GatewayEvent.UPSTREAM_UNREADABLE, row.key, it.detail)
            upstreams.remove(row.key)?.let(gone)
            return
        }
        val before = upstreams[row.key]?.record
        upstreams.put(record, ticker.now())?.let(gone)
        if (before?.draining != record.draining || before.address != record.address) {
            log.log(
                GatewayEvent.UPSTREAM_KNOWN,
                row.key,
                record.service,
                record.address,
                record.draining,
                row.version,
            )
        }
        if (record.draining) upstreams[row.key]?.let(gone)
    }

    private fun vanished(key: String, version: Long, source: String) {
        removedAt[key] = version
        if (upstreamRows.remove(key) == null) return
        val row = upstreams[key] ?: return
        val now = ticker.now()
        val alive = now - row.lastAnswerAt < ANSWERED_LATELY
        if (now < lapseUntil && alive && !row.record.draining) {
            lapsing[key] = now + LAPSE_GRACE
        } else {
            drop(key, "removed, told by $source", version)
        }
    }

    private fun drop(key: String, reason: String, version: Long) {
        val row = upstreams.remove(key) ?: return
        log.log(GatewayEvent.UPSTREAM_GONE, key, row.record.service, reason, version)
        gone(row)
    }

    private companion object {
        /** Registrations of live upstreams that lapsed are back within two seconds of the store's return. */
        val LAPSE_GRACE = 1_700.milliseconds
        val ANSWERED_LATELY = 3_000.milliseconds

        /** Removed registrations whose versions are kept, against older news of them. */
        const val REMOVED_KEPT = 2_000
    }
}
