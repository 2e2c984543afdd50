package io.poplarwood.gateway.store

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.poplarwood.api.random.Randomness
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Follows one topic of the store for the [book]: one whole read, then changes. A call that fails is made again after a
 * pause that grows, with jitter, so that a store that returns is not met by all entries at once. An entry that others
 * follow the store for still looks for its return after a failure, so that it can take over again.
 */
internal class StateWatcher(
    private val topic: Topic,
    private val store: StateStore,
    private val book: StateBook,
    private val ticker: Ticker,
    private val random: Randomness,
    private val log: EventLog,
    private val coordinator: FollowCoordinator,
) {
    private var version = 0L
    private var unansweredSince: Duration? = null
    private var backoff = INITIAL_BACKOFF
    private var responseMargin = RESPONSE_MARGIN
    private var hasPolled = false

    /** Reads the topic until it succeeds once. */
    suspend fun readWhole() {
        while (true) {
            val rows = handleResult(store.read(topic))
            if (rows != null) return apply(rows, full = true)
            awaitRetry()
        }
    }

    /** Follows changes; does not return. */
    suspend fun follow() {
        while (true) {
            if (!awaitPollDue()) {
                hasPolled = false
                continue
            }
            version = maxOf(version, coordinator.version(topic))
            // The first call finds out at once whether the store answers this entry.
            val wait = if (hasPolled && unansweredSince == null) LONG_POLL_WAIT else Duration.ZERO
            hasPolled = true
            val result = store.changes(topic, version, wait, wait + responseMargin)
            if (result.getError() == StoreError.HistoryGone) {
                readWhole()
                continue
            }
            val rows = handleResult(result)
            if (rows == null) {
                awaitRetry()
                continue
            }
            apply(rows, full = false)
            if (rows.rows.isNotEmpty()) delay(BATCH_DELAY)
        }
    }

    /** Waits a little, or for this entry's turn, where others follow the store; true when this one is to ask it now. */
    private suspend fun awaitPollDue(): Boolean {
        if (unansweredSince != null) return true
        when (coordinator.mode()) {
            FollowMode.QUICK -> return true
            FollowMode.NONE -> coordinator.nextLook()
            FollowMode.SHARED -> {
                awaitFollowing(SHARED_INTERVAL * (coordinator.entryCount * random.nextDouble()))
                return coordinator.mode() != FollowMode.NONE
            }
        }
        return false
    }

    private fun apply(rows: Rows, full: Boolean) {
        val versionBefore = if (topic == Topic.UPSTREAMS) book.upstreamVersion else version
        when (topic) {
            Topic.DESIRED_STATE -> book.applyState(rows, "store")
            Topic.UPSTREAMS -> {
                if (full) book.applyAllUpstreams(rows, "store") else book.applyUpstreamChanges(rows, version, "store")
                book.confirm(ticker.now())
            }
            Topic.ENTRIES -> Unit
        }
        version = maxOf(version, rows.version)
        if (!full && rows.rows.isNotEmpty()) coordinator.rowsChanged(topic, rows, versionBefore)
    }

    private fun <T> handleResult(result: Result<T, StoreError>): T? {
        val value = result.getOrElse { error ->
            responseMargin = minOf(responseMargin * 2, MAX_RESPONSE_MARGIN)
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
        when (coordinator.mode()) {
            FollowMode.QUICK -> delay(backoff * jitter)
            FollowMode.SHARED -> awaitFollowing(maxOf(backoff, SHARED_INTERVAL * coordinator.entryCount) * jitter)
            FollowMode.NONE -> awaitFollowing(maxOf(STANDBY_BACKOFF, SHARED_INTERVAL * coordinator.entryCount) * jitter)
        }
        backoff = minOf(backoff * 2, MAX_BACKOFF)
    }

    /** Waits for [maxWait], or until this entry is to follow the store for all. */
    private suspend fun awaitFollowing(maxWait: Duration) {
        val until = ticker.now() + maxWait
        while (ticker.now() < until && coordinator.mode() != FollowMode.QUICK) coordinator.nextLook()
    }

    private companion object {
        /** Time that a call waits for a change. A connection that went silent is found when it is over. */
        val LONG_POLL_WAIT = 800.milliseconds

        /** What an answer may take beside the time that the store waits; grows while the store is slow. */
        val RESPONSE_MARGIN = 400.milliseconds
        val MAX_RESPONSE_MARGIN = 1_600.milliseconds

        /** Changes come in groups; those that follow shortly are fetched by one call. */
        val BATCH_DELAY = 150.milliseconds
        val INITIAL_BACKOFF = 50.milliseconds
        val MAX_BACKOFF = 500.milliseconds

        /** Pause of each entry, for each entry there is, between its looks for a store that nobody has told of. */
        val SHARED_INTERVAL = 60.milliseconds

        /** Between looks whether the store answers again, while others follow it. */
        val STANDBY_BACKOFF = 2.seconds
        val OUTAGE_GRACE = 4.seconds
        const val MIN_JITTER = 0.5
    }
}
