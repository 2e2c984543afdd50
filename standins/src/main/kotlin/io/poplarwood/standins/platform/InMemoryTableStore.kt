package io.poplarwood.standins.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.poplarwood.api.platform.Row
import io.poplarwood.api.platform.RowWrite
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.platform.TableStore
import java.util.TreeMap

/** In-memory transactional table. A row that is deleted and written again restarts at version 1. */
internal class InMemoryTableStore(private val faultInjector: FaultInjector) : TableStore {
    private val rows = TreeMap<String, Row>()

    override suspend fun read(key: String): Result<Row?, StoreFailure> = faultInjector.read {
        synchronized(rows) { rows[key] }
    }

    override suspend fun scan(prefix: String, after: String, limit: Int): Result<List<Row>, StoreFailure> =
        faultInjector.read { synchronized(rows) { select(prefix, after, limit) } }

    override suspend fun transact(writes: List<RowWrite>): Result<Unit, StoreFailure> =
        faultInjector.write(writes.size) { synchronized(rows) { applyWrites(writes) } }

    private fun select(prefix: String, after: String, limit: Int): List<Row> =
        rows.tailMap(maxOf(prefix, after), true).values.asSequence()
            .filter { it.key > after }
            .takeWhile { it.key.startsWith(prefix) }
            .take(limit)
            .toList()

    private fun applyWrites(writes: List<RowWrite>): Result<Unit, StoreFailure> {
        val conflicting = writes.firstOrNull { (rows[it.key]?.version ?: 0) != it.expected }
        if (conflicting != null) return Err(StoreFailure.Conflict(conflicting.key, rows[conflicting.key]?.version))
        for (write in writes) {
            val value = write.value
            if (value == null) rows.remove(write.key) else rows[write.key] = Row(write.key, write.expected + 1, value)
        }
        return Ok(Unit)
    }
}
