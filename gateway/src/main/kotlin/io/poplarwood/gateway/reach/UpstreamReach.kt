package io.poplarwood.gateway.reach

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.http.ConnectResult
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.upstream.AvailabilityState
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Finds out whether this entry itself is cut off from the upstreams of a service.
 *
 * When several upstreams in a row fail this entry, it tries to connect to some. It is cut off when it reaches none of
 * them while others get answers from the same upstreams meanwhile. Upstreams that are dead or slow fail the others as
 * well, and a path that is cut in part still brings answers. While it is cut off, checks find out when the path is
 * whole.
 *
 * @param tryConnect tries to open a connection to an `ip:port`
 * @param answeringOthers which of the upstreams answered another entry within the given time before now
 * @param onCut called with a service that this entry has been found to be cut off from
 * @param onAnnounce called when [cutOff] has changed
 */
internal class UpstreamReach(
    private val upstreams: UpstreamTable,
    private val tryConnect: suspend (address: String) -> ConnectResult,
    private val answeringOthers: suspend (upstreams: List<String>, within: Duration) -> Set<String>,
    private val random: RandomSource,
    private val ticker: Ticker,
    private val scope: CoroutineScope,
    private val log: EventLog,
    private val onCut: (ServiceName) -> Unit,
    private val onAnnounce: () -> Unit,
) {
    private val paths = HashMap<ServiceName, ServicePath>()
    private val returning = ReturnPacing()

    /** Whether other entries should take the callers of this one: it is cut off from a service, or was until lately. */
    var cutOff: Boolean = false
        private set

    /** Number of services that this entry is cut off from. */
    val cutServices: Int get() = paths.values.count { it.cutSince != null }

    /** Whether this entry is cut off from the upstreams of [service]. */
    fun isCut(service: ServiceName): Boolean = paths[service]?.cutSince != null

    /** Whether another entry may reach upstreams of [service] that this one does not. */
    fun othersMayReach(service: ServiceName): Boolean {
        val path = paths[service] ?: return false
        val now = ticker.now()
        return path.cutSince != null || (path.isSuspect(now) && now > path.soundUntil)
    }

    /** Records that [attempt] was sent to [row], whose answer usually takes [usualTime]. */
    fun attemptStarted(attempt: Any, row: UpstreamRow, usualTime: Duration) {
        val now = ticker.now()
        pathTo(row).started(attempt, row.id, now, now + usualTime * LATE_FACTOR + LATE_MARGIN)
    }

    /** Records that [row] answered [attempt], with whatever status. */
    fun attemptAnswered(attempt: Any, row: UpstreamRow) = pathTo(row).answered(attempt, ticker.now())

    /** Records that [attempt] found no connection to [row], or lost it without an answer. */
    fun attemptFailed(attempt: Any, row: UpstreamRow) {
        val path = pathTo(row)
        path.failed(attempt, row.id, ticker.now())
        if (path.cutSince == null && path.isSuspect(ticker.now())) checkIfDue(row.record.service, path, MIN_PAUSE)
    }

    /** Records that [attempt] at [row] was given up. */
    fun attemptAbandoned(attempt: Any, row: UpstreamRow) = pathTo(row).abandoned(attempt, ticker.now())

    /** Records that [attempt] at [row] ended and tells nothing. */
    fun attemptEnded(attempt: Any, row: UpstreamRow) = pathTo(row).ended(attempt)

    /**
     * Starts the checks that are due; called periodically.
     *
     * @param neighborCutOff whether another entry of the zone is cut off, so that this one may be as well
     */
    fun tick(neighborCutOff: Boolean) {
        val now = ticker.now()
        if (neighborCutOff) upstreams.serviceNames.forEach(::pathTo)
        for ((service, path) in paths) {
            val unused = neighborCutOff && now - path.answeredAt > IDLE_TIME
            when {
                path.cutSince != null || path.isSuspect(now) -> checkIfDue(service, path, MIN_PAUSE)
                unused -> checkIfDue(service, path, IDLE_TIME)
            }
        }
        announce(now)
    }

    private fun pathTo(row: UpstreamRow) = pathTo(row.record.service)

    private fun pathTo(service: ServiceName) = paths.getOrPut(service) { ServicePath() }

    private fun checkIfDue(service: ServiceName, path: ServicePath, pause: Duration) {
        val now = ticker.now()
        if (path.checking || now - path.checkedAt < pause) return
        path.checking = true
        path.checkedAt = now
        scope.launch {
            try {
                if (path.cutSince == null) checkWhetherCut(service, path) else checkWhetherWhole(service, path)
            } finally {
                path.checking = false
            }
        }
    }

    private suspend fun checkWhetherCut(service: ServiceName, path: ServicePath) {
        val startedAt = ticker.now()
        val sample = sample(service, path, CUT_SAMPLE)
        if (sample.isEmpty()) return
        val reached = connect(sample).any { it == ConnectResult.ACCEPTED }
        // Upstreams that have just ended refuse connections, and answered others until a moment ago.
        delay((startedAt + MIN_OBSERVATION - ticker.now()).coerceAtLeast(Duration.ZERO))
        val answering = if (reached) emptySet() else answeringSince(startedAt, sample)
        val cut = !reached && path.answeredAt < startedAt && answering.size >= minOf(MIN_PROOFS, sample.size)
        if (!cut) {
            path.soundUntil = ticker.now() + SOUND_TIME
            return
        }
        path.cutSince = startedAt
        path.passedChecks = 0
        returning.cutAt(ticker.now())
        log.log(GatewayEvent.CUT_OFF, service.value, sample.size, answering.size, path.failedUpstreams.size)
        announce(ticker.now())
        onCut(service)
    }

    private suspend fun answeringSince(startedAt: Duration, sample: List<UpstreamRow>): Set<String> {
        val reported = sample.filter { it.slownessAt > startedAt + MAX_UPDATE_DELAY }.map { it.id }
        if (reported.size >= MIN_PROOFS) return reported.toSet()
        return reported.toSet() + answeringOthers(sample.map { it.id }, ticker.now() - startedAt)
    }

    private suspend fun checkWhetherWhole(service: ServiceName, path: ServicePath) {
        val sample = sample(service, path, WHOLE_SAMPLE)
        val reached = connect(sample).count { it == ConnectResult.ACCEPTED }
        // Single upstreams may be dead; without any, there is nothing to be cut off from.
        val whole = sample.isEmpty() || reached * 2 > sample.size
        path.passedChecks = if (whole) path.passedChecks + 1 else 0
        if (path.passedChecks < REQUIRED_PASSES) return
        val now = ticker.now()
        val since = path.cutSince ?: return
        path.cutSince = null
        returning.wholeAt(now)
        log.log(GatewayEvent.CUT_OFF_ENDED, service.value, (now - since).inWholeMilliseconds)
    }

    /** Up to [size] upstreams, to find a cut those that have failed first, drawn anew each time. */
    private fun sample(service: ServiceName, path: ServicePath, size: Int): List<UpstreamRow> {
        val now = ticker.now()
        val rows = upstreams.of(service).filter { it.availability.state(now) < AvailabilityState.ELSEWHERE }
        val order = rows.associateWith { random.nextDouble() }
        return rows.sortedWith(compareBy({ path.cutSince == null && it.id !in path.failedUpstreams }, { order[it] }))
            .take(size)
    }

    private suspend fun connect(sample: List<UpstreamRow>): List<ConnectResult> = coroutineScope {
        sample.map { row -> async { tryConnect(row.record.address) } }.awaitAll()
    }

    private fun announce(now: Duration) {
        val next = cutServices > 0 || now < returning.namedFrom
        if (next == cutOff) return
        cutOff = next
        onAnnounce()
    }

    private companion object {
        /** An answer counts as overdue after this many times its usual time and the margin. */
        const val LATE_FACTOR = 2
        val LATE_MARGIN = 200.milliseconds

        /** Pause between checks of one path. */
        val MIN_PAUSE = 500.milliseconds
        val IDLE_TIME = 1.seconds

        /** Upstreams that a check tries. */
        const val CUT_SAMPLE = 8
        const val WHOLE_SAMPLE = 3
        const val REQUIRED_PASSES = 2

        /** Upstreams that have to answer others meanwhile; one may have started again. */
        const val MIN_PROOFS = 2
        val MIN_OBSERVATION = 250.milliseconds

        /** Load updates of other entries arrive within this time. */
        val MAX_UPDATE_DELAY = 60.milliseconds

        /** Time for which a path is not suspected again after a check. */
        val SOUND_TIME = 1.seconds
    }
}
