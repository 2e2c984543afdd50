package io.poplarwood.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.poplarwood.api.platform.ObjectStore
import io.poplarwood.api.platform.Row
import io.poplarwood.api.platform.RowWrite
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.platform.TableStore
import io.poplarwood.api.random.SplitMix
import io.poplarwood.fleet.store.StoreOperation
import io.poplarwood.fleet.store.StoreResult
import io.poplarwood.fleet.virtual.Timeline
import io.poplarwood.fleet.virtual.VirtualStore

/** Table and object store in memory that answers immediately. */
internal class MemoryStore : TableStore, ObjectStore {
    private val store = VirtualStore(Timeline(), SplitMix(1))

    private inline fun <reified A : StoreResult, T> perform(
        operation: StoreOperation,
        value: (A) -> T,
    ): Result<T, StoreFailure> =
        when (val result = store.apply(operation)) {
            is A -> Ok(value(result))
            is StoreResult.Failed -> Err(result.failure)
            else -> error("unexpected $result")
        }

    override suspend fun read(key: String): Result<Row?, StoreFailure> =
        perform<StoreResult.ReadRow, Row?>(StoreOperation.Read(key)) { it.row }

    override suspend fun scan(prefix: String, after: String, limit: Int): Result<List<Row>, StoreFailure> =
        perform<StoreResult.Scanned, List<Row>>(StoreOperation.Scan(prefix, after, limit)) { it.rows }

    override suspend fun transact(writes: List<RowWrite>): Result<Unit, StoreFailure> =
        perform<StoreResult.Applied, Unit>(StoreOperation.Transact(writes)) { }

    override suspend fun put(name: String, bytes: ByteArray): Result<Unit, StoreFailure> =
        perform<StoreResult.Applied, Unit>(StoreOperation.Put(name, bytes)) { }

    override suspend fun get(name: String): Result<ByteArray?, StoreFailure> =
        perform<StoreResult.Found, ByteArray?>(StoreOperation.Get(name)) { it.bytes }
}
