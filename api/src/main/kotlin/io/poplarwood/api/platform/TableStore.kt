package io.poplarwood.api.platform

import com.github.michaelbull.result.Result

/** The platform's transactional table. Several hundred writes and about 2,000 reads a second for a whole cell. */
interface TableStore {
    /** The row at [key], or null when there is none. */
    suspend fun read(key: String): Result<Row?, StoreFailure>

    /** Rows whose keys start with [prefix] and are greater than [after], in key order, at most [limit]. */
    suspend fun scan(prefix: String, after: String, limit: Int): Result<List<Row>, StoreFailure>

    /** Applies all [writes] or none. */
    suspend fun transact(writes: List<RowWrite>): Result<Unit, StoreFailure>
}
