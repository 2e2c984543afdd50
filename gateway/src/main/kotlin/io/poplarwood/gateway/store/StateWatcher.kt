package io.poplarwood.gateway.store

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Follows one topic of the store for the [book]: one full read, then long polls for changes. A failed call is retried
 * with exponential backoff and jitter, so that not all entries reach a recovering store at once. After a failure, an
 * entry for which others follow the store still polls it until it answers, so that the entry can become a follower
 * again.
 */
internal class StateWatcher(
    private val topic: Topic,
    private val store: StateStore,
    private val book: StateReplica,
    private val ticker: Ticker,
    private val random: RandomSource,
    private val log: EventLog,
    private val coordinator: FollowCoordinator,
) {
    private var version = StoreVersion.NONE
    private var unansweredSince: Duration? = null
    private var backoff = INITIAL_BACKOFF
    private var responseMargin = RESPONSE_MARGIN
    private var hasPolled = false
    private var callDueAt = Duration.INFINITE

    /** When the last answer began to arrive; it shows the store as of that time. */
    private var answeredAt = -Duration.INFINITE

    /** Reads all rows of the topic; retries until a read succeeds. */
    suspend fun readSnapshot() {
        while (true) {
            val startedAt = ticker.now()
            val rows = handleResult(observeArrival { store.read(topic, it) })
            if (rows != null) return apply(rows, full = true, startedAt)
            awaitRetry()
        }
    }

    /** Follows changes; never returns normally. */
    suspend fun follow() {
        while (true) {
            if (!awaitPollDue()) {
                hasPolled = false
                continue
            }
            version = maxOf(version, coordinator.version(topic))
            // The first call does not wait, so that it shows at once whether the store answers this entry.
            val wait = if (hasPolled && unansweredSince == null) LONG_POLL_WAIT else Duration.ZERO
            hasPolled = true
            val startedAt = ticker.now()
            callDueAt = startedAt + wait + responseMargin
            val result = observeArrival { store.changes(topic, version, wait, wait + responseMargin, it) }
            if (result.getError() == StoreError.HistoryGone || result.get().isOfOtherEra()) {
                readAgain()
                continue
            }
            val rows = handleResult(result)
            if (rows == null) {
                awaitRetry()
                continue
            }
            // The next call confirms a new configuration at once, because it does not wait.
            if (topic == Topic.DESIRED_STATE && rows.rows.isNotEmpty()) hasPolled = false
            apply(rows, full = false, answerTime(startedAt, wait, rows))
            if (rows.rows.isNotEmpty()) delay(BATCH_DELAY)
        }
    }

    /** The changes in an answer of another era follow a version that has nothing to do with the one asked for. */
    private fun RowSnapshot?.isOfOtherEra() = this != null && !version.isOfSameEraAs(this@StateWatcher.version)

    private suspend fun readAgain() {
        val asked = version
        readSnapshot()
        log.log(GatewayEvent.STORE_READ_AGAIN, topic, asked, version)
        // A store without eras that came back older does not get further by itself.
        if (version <= asked) awaitRetry()
    }

    /** Makes a [call] and tells other entries while an answer with rows is arriving. */
    private suspend fun observeArrival(
        call: suspend (onArriving: () -> Unit) -> Result<RowSnapshot, StoreError>,
    ): Result<RowSnapshot, StoreError> {
        var arrivingSince: Duration? = null
        try {
            val result = call {
                arrivingSince = ticker.now()
                coordinator.rowsArriving(topic, true)
            }
            answeredAt = arrivingSince ?: ticker.now()
            arrivingSince?.let { logSlowArrival(ticker.now() - it, result) }
            return result
        } finally {
            coordinator.rowsArriving(topic, false)
        }
    }

    private fun logSlowArrival(took: Duration, result: Result<RowSnapshot, StoreError>) {
        if (took < SLOW_ARRIVAL) return
        val outcome = result.getError() ?: "received"
        log.log(GatewayEvent.STORE_SLOW, topic, took.inWholeMilliseconds, outcome)
    }

    /** Returns true when this entry is to call the store now; otherwise suspends until the mode may have changed. */
    private suspend fun awaitPollDue(): Boolean {
        if (unansweredSince != null) return true
        return when (coordinator.mode(topic)) {
            FollowMode.QUICK -> true
            FollowMode.SHARED -> awaitQueryDue()
            FollowMode.NONE -> {
                coordinator.awaitTick()
                false
            }
        }
    }

    /** Waits for the time of this entry's query; returns false when the data is no longer stale. */
    private suspend fun awaitQueryDue(): Boolean {
        val draw = random.nextDouble()
        val from = ticker.now()
        while (coordinator.mode(topic) == FollowMode.SHARED && ticker.now() - from < coordinator.pacing.delay(draw)) {
            coordinator.awaitTick()
        }
        return coordinator.mode(topic) != FollowMode.NONE
    }

    /**
     * Earliest time at which the store can have given its answer of [rows] to a call that was sent at [startedAt].
     * Nothing tells how long a large answer was under way; one without rows is given at the end of the [wait].
     */
    private fun answerTime(startedAt: Duration, wait: Duration, rows: RowSnapshot): Duration {
        val waitedInVain = rows.rows.isEmpty() && ticker.now() - startedAt >= wait
        return if (waitedInVain) startedAt + wait else startedAt
    }

    /** Applies [rows], which the store had no change beyond before [confirmedAt]. */
    private suspend fun apply(rows: RowSnapshot, full: Boolean, confirmedAt: Duration) {
        val versionBefore = if (topic == Topic.UPSTREAMS) book.unchangedSince else version
        when (topic) {
            Topic.DESIRED_STATE -> {
                book.applyStateRows(rows, "store")
                book.freshness.confirm(confirmedAt)
            }
            Topic.UPSTREAMS -> {
                if (full) book.applyAllUpstreams(rows, "store") else book.applyUpstreamChanges(rows, version, "store")
                book.confirm(answeredAt)
            }
            Topic.ENTRIES -> Unit
        }
        version = maxOf(version, rows.version)
        if (!full && rows.rows.isNotEmpty()) coordinator.rowsChanged(topic, rows, versionBefore)
    }

    private fun <T> handleResult(result: Result<T, StoreError>): T? {
        val value = result.getOrElse { error ->
            responseMargin = minOf(responseMargin * 2, MAX_RESPONSE_MARGIN)
            val late = error == StoreError.NoAnswer && ticker.now() - callDueAt > MAX_TIMER_DELAY
            coordinator.storeFailed(topic, late)
            if (unansweredSince == null) {
                unansweredSince = ticker.now()
                coordinator.storeAnswered(topic, false)
                log.log(GatewayEvent.STORE_LOST, topic, error, version)
            }
            return null
        }
        val since = unansweredSince
        if (since != null) {
            log.log(GatewayEvent.STORE_BACK, topic, (ticker.now() - since).inWholeMilliseconds)
            book.expiryGraceUntil = ticker.now() + OUTAGE_GRACE
        }
        unansweredSince = null
        coordinator.storeAnswered(topic, true)
        responseMargin = maxOf(responseMargin / 2, RESPONSE_MARGIN)
        backoff = INITIAL_BACKOFF
        return value
    }

    private suspend fun awaitRetry() {
        val jitter = MIN_JITTER + random.nextDouble()
        if (coordinator.mode(topic) == FollowMode.QUICK) delay(backoff * jitter) else awaitFollowing(jitter)
        backoff = minOf(backoff * 2, MAX_BACKOFF)
    }

    /** Waits until this entry becomes a follower, or until it is time for another try. */
    private suspend fun awaitFollowing(jitter: Double) {
        val from = ticker.now()
        while (true) {
            val pause = when (coordinator.mode(topic)) {
                FollowMode.QUICK -> return
                FollowMode.SHARED -> maxOf(backoff, coordinator.pacing.period)
                FollowMode.NONE -> maxOf(STANDBY_BACKOFF, coordinator.pacing.outagePeriod)
            }
            if (ticker.now() - from >= pause * jitter) return
            coordinator.awaitTick()
        }
    }

    private companion object {
        /**
         * Long-poll time. A connection that stopped responding is detected when this time and the response margin are
         * over.
         */
        val LONG_POLL_WAIT = 800.milliseconds

        /**
         * Time allowed until an answer begins, in addition to the long-poll time of the call; doubles with each failed
         * call.
         */
        val RESPONSE_MARGIN = 400.milliseconds
        val MAX_RESPONSE_MARGIN = 1_600.milliseconds

        /** A time limit that ends later than this shows that the event loop was busy. */
        val MAX_TIMER_DELAY = 100.milliseconds

        /** An answer that takes longer to arrive is logged. */
        val SLOW_ARRIVAL = 250.milliseconds

        /** Changes come in groups; one call fetches those that follow within this time. */
        val BATCH_DELAY = 150.milliseconds
        val INITIAL_BACKOFF = 50.milliseconds
        val MAX_BACKOFF = 500.milliseconds

        /** Poll interval of an entry for which others follow the store, after a failure. */
        val STANDBY_BACKOFF = 2.seconds

        /** Time after an outage during which a missing registration is not removed at once. */
        val OUTAGE_GRACE = 4.seconds

        /** The jitter factor lies between this and 1.5. */
        const val MIN_JITTER = 0.5
    }
}
