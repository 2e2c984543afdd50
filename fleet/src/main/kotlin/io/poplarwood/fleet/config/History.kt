package io.poplarwood.fleet.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.platform.Row
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.platform.TableStore

/** Reads the change log. */
class History(private val table: TableStore) {
    /** Changes of [service], oldest first; documents stored as objects are given by digest only. */
    suspend fun of(service: ServiceName): Result<List<HistoryEntry>, StoreFailure> {
        val changes = scan(ConfigCodec.CHANGES).getOrElse { return Err(it) }
        val times = scan(ConfigCodec.IN_FORCE).getOrElse { return Err(it) }
        val bySequence = times.flatMap { InForceLog.decode(it.value) }.associateBy { it.sequence }
        val batches = changes.mapNotNull { ConfigCodec.decodeBatch(it.value) }
        return Ok(
            batches.flatMap { b ->
                b.changes.filter { it.service == service }.map { HistoryEntry(it, b.sequence, bySequence[b.sequence]) }
            },
        )
    }

    private suspend fun scan(prefix: String): Result<List<Row>, StoreFailure> {
        val rows = ArrayList<Row>()
        while (true) {
            val page = table.scan(prefix, rows.lastOrNull()?.key.orEmpty(), PAGE_ROWS).getOrElse { return Err(it) }
            rows += page
            if (page.size < PAGE_ROWS) return Ok(rows)
        }
    }

    private companion object {
        const val PAGE_ROWS = 200
    }
}
