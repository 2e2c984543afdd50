package io.poplarwood.standins.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.poplarwood.api.platform.Row
import io.poplarwood.api.platform.RowWrite
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.platform.TableStore
import java.util.TreeMap

/** Transactional table in memory. A row that is deleted and written again starts at version 1. */
internal class InMemoryTableStore(private val gate: FaultInjector) : TableStore {
    private val rows = TreeMap<String, Row>()

    override suspend fun read(key: String): Result<Row?, StoreFailure> = gate.read { synchronized(rows) { rows[key] } }

    override suspend fun scan(prefix: String, after: String, limit: Int): Result<List<Row>, StoreFailure> =
        gate.read { synchronized(rows) { select(prefix, after, limit) } }

    override suspend fun transact(writes: List<RowWrite>): Result<Unit, StoreFailure> =
        gate.write(writes.size) { synchronized(rows) { apply(writes) } }

    private fun select(prefix: String, after: String, limit: Int): List<Row> =
        rows.tailMap(maxOf(prefix, after), true).values.asSequence()
            .filter { it.key > after }
            .takeWhile { it.key.startsWith(prefix) }
            .take(limit)
            .toList()

    private fun apply(writes: List<RowWrite>): Result<Unit, StoreFailure> {
        val differs = writes.firstOrNull { (rows[it.key]?.version ?: 0) != it.expected }
        if (differs != null) return Err(StoreFailure.Conflict(differs.key, rows[differs.key]?.version))
        for (write in writes) {
            val value = write.value
            if (value == null) rows.remove(write.key) else rows[write.key] = Row(write.key, write.expected + 1, value)
        }
        return Ok(Unit)
    }
}
