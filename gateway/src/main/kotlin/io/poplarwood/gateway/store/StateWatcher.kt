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
    private val duty: WatchDuty,
) {
    private var version = 0L
    private var lostAt: Duration? = null
    private var pause = FIRST_PAUSE
    private var margin = MARGIN
    private var following = false

    /** Reads the topic until it succeeds once. */
    suspend fun readWhole() {
        while (true) {
            val rows = succeed(store.read(topic))
            if (rows != null) return take(rows, whole = true)
            backOff()
        }
    }

    /** Follows changes; does not return. */
    suspend fun follow() {
        while (true) {
            if (!onDuty()) {
                following = false
                continue
            }
            version = maxOf(version, duty.known(topic))
            // The first call finds out at once whether the store answers this entry.
            val wait = if (following && lostAt == null) WAIT else Duration.ZERO
            following = true
            val result = store.changes(topic, version, wait, wait + margin)
            if (result.getError() == StoreError.HistoryGone) {
                readWhole()
                continue
            }
            val rows = succeed(result)
            if (rows == null) {
                backOff()
                continue
            }
            take(rows, whole = false)
            if (rows.rows.isNotEmpty()) delay(GATHER)
        }
    }

    /** Waits a little, or for this entry's turn, where others follow the store; true when this one is to ask it now. */
    private suspend fun onDuty(): Boolean {
        if (lostAt != null) return true
        when (duty.pace()) {
            FollowPace.QUICK -> return true
            FollowPace.NONE -> duty.nextLook()
            FollowPace.SHARED -> {
                waitTurn(SHARED_PAUSE * (duty.entries * random.nextDouble()))
                return duty.pace() != FollowPace.NONE
            }
        }
        return false
    }

    private fun take(rows: Rows, whole: Boolean) {
        val before = if (topic == Topic.UPSTREAMS) book.upstreamVersion else version
        when (topic) {
            Topic.DESIRED_STATE -> book.takeState(rows, "store")
            Topic.UPSTREAMS -> {
                if (whole) book.takeAllUpstreams(rows, "store") else book.takeChangedUpstreams(rows, version, "store")
                book.confirm(ticker.now())
            }
            Topic.ENTRIES -> Unit
        }
        version = maxOf(version, rows.version)
        if (!whole && rows.rows.isNotEmpty()) duty.changed(topic, rows, before)
    }

    private fun <T> succeed(result: Result<T, StoreError>): T? {
        val value = result.getOrElse { error ->
            margin = minOf(margin * 2, LONGEST_MARGIN)
            if (lostAt == null) {
                lostAt = ticker.now()
                duty.answers(topic, false)
                log.log(GatewayEvent.STORE_LOST, topic, error, version)
            }
            return null
        }
        val lost = lostAt
        if (lost != null) {
            log.log(GatewayEvent.STORE_BACK, topic, (ticker.now() - lost).inWholeMilliseconds)
            book.lapseUntil = ticker.now() + AFTER_OUTAGE
        }
        lostAt = null
        duty.answers(topic, true)
        margin = maxOf(margin / 2, MARGIN)
        pause = FIRST_PAUSE
        return value
    }

    private suspend fun backOff() {
        val jitter = HALF + random.nextDouble()
        when (duty.pace()) {
            FollowPace.QUICK -> delay(pause * jitter)
            FollowPace.SHARED -> waitTurn(maxOf(pause, SHARED_PAUSE * duty.entries) * jitter)
            FollowPace.NONE -> waitTurn(maxOf(OFF_DUTY_PAUSE, SHARED_PAUSE * duty.entries) * jitter)
        }
        pause = minOf(pause * 2, LONGEST_PAUSE)
    }

    /** Waits for [longest], or until this entry is to follow the store for all. */
    private suspend fun waitTurn(longest: Duration) {
        val until = ticker.now() + longest
        while (ticker.now() < until && duty.pace() != FollowPace.QUICK) duty.nextLook()
    }

    private companion object {
        /** Time that a call waits for a change. A connection that went silent is found when it is over. */
        val WAIT = 800.milliseconds

        /** What an answer may take beside the time that the store waits; grows while the store is slow. */
        val MARGIN = 400.milliseconds
        val LONGEST_MARGIN = 1_600.milliseconds

        /** Changes come in groups; those that follow shortly are fetched by one call. */
        val GATHER = 150.milliseconds
        val FIRST_PAUSE = 50.milliseconds
        val LONGEST_PAUSE = 500.milliseconds

        /** Pause of each entry, for each entry there is, between its looks for a store that nobody has told of. */
        val SHARED_PAUSE = 60.milliseconds

        /** Between looks whether the store answers again, while others follow it. */
        val OFF_DUTY_PAUSE = 2.seconds
        val AFTER_OUTAGE = 4.seconds
        const val HALF = 0.5
    }
}
