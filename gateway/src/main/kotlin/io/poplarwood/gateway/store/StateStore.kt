package io.poplarwood.gateway.store

import com.github.michaelbull.result.Result
import kotlin.time.Duration

/**
 * The calls to the store that an entry needs. Each call ends in time: a read fails with [StoreError.NoAnswer] when its
 * answer does not begin to arrive or stops arriving, so that a large answer over a slow link does not count as none.
 */
interface StateStore {
    /**
     * All rows of [topic], as a consistent snapshot.
     *
     * @param onArriving called when an answer with rows begins to arrive
     */
    suspend fun read(topic: Topic, onArriving: () -> Unit = {}): Result<RowSnapshot, StoreError>

    /**
     * Long poll: rows of [topic] that changed after version [after], as soon as there is one, or none after [wait]. An
     * answer of another era than that of [after] does not say what changed.
     *
     * @param limit time until the answer has to begin to arrive, with [wait]
     * @param onArriving called when an answer with rows begins to arrive
     */
    suspend fun changes(
        topic: Topic,
        after: StoreVersion,
        wait: Duration,
        limit: Duration,
        onArriving: () -> Unit = {},
    ): Result<RowSnapshot, StoreError>

    /** Writes the row [key] of [Topic.ENTRIES]. */
    suspend fun putEntryRow(key: String, value: ByteArray): Result<Unit, StoreError>

    /** Removes the row [key] of [Topic.ENTRIES]. */
    suspend fun deleteEntryRow(key: String): Result<Unit, StoreError>
}
