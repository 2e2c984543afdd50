package io.poplarwood.gateway.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.poplarwood.gateway.store.RowSnapshot
import io.poplarwood.gateway.store.StateStore
import io.poplarwood.gateway.store.StoreError
import io.poplarwood.gateway.store.StoreVersion
import io.poplarwood.gateway.store.StoredRow
import io.poplarwood.gateway.store.Topic
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One store for several entries in virtual time, which can be unresponsive to some of them. An answer takes its
 * size on
 * the link of its reader.
 */
internal class SimulatedStore {
    private val rows = Topic.entries.associateWith { LinkedHashMap<String, StoredRow>() }
    private var version = StoreVersion(1, 0)

    /** Names of entries whose calls time out. */
    val downFor = HashSet<String>()

    /** Links of the readers; unlimited while there are none. */
    var links: SimulatedLinks? = null

    /** Time that an answer with the desired state takes to arrive, by entry name; infinite when it stalls. */
    val arrivalTime = HashMap<String, Duration>()

    /** Time for which an answer waits until the busy event loop of its reader takes it, by entry name. */
    var readDelay: Map<String, Duration> = emptyMap()

    /** Version up to which the change history has been dropped. */
    private var historyStart = StoreVersion.NONE

    /** Number of calls by entry name. */
    val calls = HashMap<String, Int>()

    /** Writes [value], or removes the row when it is null. */
    fun put(topic: Topic, key: String, value: String?) {
        advanceVersion()
        rows.getValue(topic)[key] = StoredRow(key, value?.encodeToByteArray(), version)
    }

    /** Version of each present row of [topic], by its key. */
    fun versions(topic: Topic): Map<String, StoreVersion> =
        rows.getValue(topic).values.filter { it.value != null }.associate { it.key to it.version }

    /** Drops the change history so far. */
    fun dropHistory() {
        historyStart = version
    }

    /** Advances the version of the store as a change of an unrelated row does. */
    fun advanceVersion() {
        version = version.copy(change = version.change + 1)
    }

    /** The store as the entry named [entry] reaches it. */
    fun of(entry: String): StateStore = object : StateStore {
        override suspend fun read(topic: Topic, onArriving: () -> Unit): Result<RowSnapshot, StoreError> =
            answer(CALL_TIMEOUT) { RowSnapshot(rows.getValue(topic).values.filter { it.value != null }, version) }
                .arriving(topic, onArriving)

        override suspend fun changes(
            topic: Topic,
            after: StoreVersion,
            wait: Duration,
            limit: Duration,
            onArriving: () -> Unit,
        ): Result<RowSnapshot, StoreError> {
            var waited = Duration.ZERO
            while (entry !in downFor && waited < wait && changedAfter(topic, after).isEmpty()) {
                delay(STEP)
                waited += STEP
            }
            if (after < historyStart && entry !in downFor) return Err(StoreError.HistoryGone)
            return answer(limit - waited) { RowSnapshot(changedAfter(topic, after), version) }
                .arriving(topic, onArriving)
        }

        /** The answer when all of its bytes have arrived; the time for that is limited as in CallLimits. */
        private suspend fun Result<RowSnapshot, StoreError>.arriving(
            topic: Topic,
            onArriving: () -> Unit,
        ): Result<RowSnapshot, StoreError> {
            val answered = getOrElse { return this }
            if (answered.rows.isEmpty()) {
                readDelay[entry]?.let { delay(it) }
                return this
            }
            onArriving()
            val time = arrivalTime[entry]?.takeIf { topic == Topic.DESIRED_STATE } ?: Duration.ZERO
            delay(minOf(time, STALL_LIMIT))
            if (time == Duration.INFINITE) return Err(StoreError.NoAnswer)
            delay(time - minOf(time, STALL_LIMIT))
            val bytes = answered.rows.sumOf { row -> row.value?.size ?: 0 }
            val arrived = links?.receive(entry, bytes, TOTAL_LIMIT) ?: true
            readDelay[entry]?.let { delay(it) }
            return if (arrived && entry !in downFor) this else Err(StoreError.NoAnswer)
        }

        override suspend fun putEntryRow(key: String, value: ByteArray): Result<Unit, StoreError> = answer(
            CALL_TIMEOUT,
        ) {
        }

        override suspend fun deleteEntryRow(key: String): Result<Unit, StoreError> = answer(CALL_TIMEOUT) {}

        private suspend fun <T> answer(limit: Duration, value: () -> T): Result<T, StoreError> {
            calls.merge(entry, 1, Int::plus)
            if (entry !in downFor) {
                delay(STEP)
                return Ok(value())
            }
            delay(limit)
            return Err(StoreError.NoAnswer)
        }
    }

    private fun changedAfter(topic: Topic, after: StoreVersion) = rows.getValue(topic).values.filter {
        it.version >
            after
    }

    private companion object {
        val STEP = 4.milliseconds
        val CALL_TIMEOUT = 1_000.milliseconds

        /** As in CallLimits. */
        val TOTAL_LIMIT = 10_000.milliseconds
        val STALL_LIMIT = 400.milliseconds
    }
}
