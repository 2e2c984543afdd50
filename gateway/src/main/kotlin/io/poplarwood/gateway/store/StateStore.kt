package io.poplarwood.gateway.store

import com.github.michaelbull.result.Result
import kotlin.time.Duration

/** The calls to the store that an entry needs. Each call ends within its timeout. */
interface StateStore {
    /** All rows of [topic], as a consistent snapshot. */
    suspend fun read(topic: Topic): Result<RowSnapshot, StoreError>

    /**
     * Long poll: rows of [topic] that changed after version [after], as soon as there is one, or none after [wait]. The
     * call fails with [StoreError.NoAnswer] after [limit].
     */
    suspend fun changes(topic: Topic, after: Long, wait: Duration, limit: Duration): Result<RowSnapshot, StoreError>

    /** Writes the row [key] of [Topic.ENTRIES]. */
    suspend fun putEntryRow(key: String, value: ByteArray): Result<Unit, StoreError>

    /** Removes the row [key] of [Topic.ENTRIES]. */
    suspend fun deleteEntryRow(key: String): Result<Unit, StoreError>
}
