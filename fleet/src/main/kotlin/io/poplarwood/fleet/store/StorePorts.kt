package io.poplarwood.fleet.store

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.poplarwood.api.platform.ObjectStore
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.platform.TableStore
import io.poplarwood.api.platform.VmList
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Performs [StoreOperation]s on the services of the platform.
 *
 * @param timeout time after which an operation fails as [StoreFailure.AnswerLost]; a write may have been applied
 */
class StorePorts(
    private val table: TableStore,
    private val objects: ObjectStore,
    private val vms: VmList,
    private val timeout: Duration = 2.seconds,
) {
    suspend fun perform(operation: StoreOperation): StoreResult =
        withTimeoutOrNull(timeout) { execute(operation) } ?: StoreResult.Failed(StoreFailure.AnswerLost)

    private suspend fun execute(operation: StoreOperation): StoreResult = when (operation) {
        is StoreOperation.Read -> table.read(operation.key).toStoreResult(StoreResult::ReadRow)
        is StoreOperation.Scan -> table.scan(
            operation.prefix,
            operation.after,
            operation.limit,
        ).toStoreResult(StoreResult::Scanned)
        is StoreOperation.Transact -> table.transact(operation.writes).toStoreResult { StoreResult.Applied }
        is StoreOperation.Put -> objects.put(operation.name, operation.bytes).toStoreResult { StoreResult.Applied }
        is StoreOperation.Get -> objects.get(operation.name).toStoreResult(StoreResult::Found)
        StoreOperation.ListVms -> vms.list().toStoreResult(StoreResult::Vms)
    }

    private fun <T> Result<T, StoreFailure>.toStoreResult(success: (T) -> StoreResult): StoreResult =
        fold(success = success, failure = StoreResult::Failed)
}
