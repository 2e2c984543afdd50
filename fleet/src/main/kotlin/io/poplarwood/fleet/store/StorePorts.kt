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
 * The platform as [StoreOperation]s use it.
 *
 * @param timeout time after which an operation counts as failed; a write may have been applied by then
 */
class StorePorts(
    private val table: TableStore,
    private val objects: ObjectStore,
    private val vms: VmList,
    private val timeout: Duration = 2.seconds,
) {
    /** Performs [operation]. */
    suspend fun perform(operation: StoreOperation): StoreAnswer =
        withTimeoutOrNull(timeout) { run(operation) } ?: StoreAnswer.Failed(StoreFailure.AnswerLost)

    private suspend fun run(operation: StoreOperation): StoreAnswer = when (operation) {
        is StoreOperation.Read -> table.read(operation.key).answer(StoreAnswer::ReadRow)
        is StoreOperation.Scan -> table.scan(
            operation.prefix,
            operation.after,
            operation.limit,
        ).answer(StoreAnswer::Scanned)
        is StoreOperation.Transact -> table.transact(operation.writes).answer { StoreAnswer.Applied }
        is StoreOperation.Put -> objects.put(operation.name, operation.bytes).answer { StoreAnswer.Applied }
        is StoreOperation.Get -> objects.get(operation.name).answer(StoreAnswer::Found)
        StoreOperation.ListVms -> vms.list().answer(StoreAnswer::Vms)
    }

    private fun <T> Result<T, StoreFailure>.answer(success: (T) -> StoreAnswer): StoreAnswer =
        fold(success = success, failure = StoreAnswer::Failed)
}
