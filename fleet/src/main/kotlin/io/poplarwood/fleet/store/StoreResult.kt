package io.poplarwood.fleet.store

import io.poplarwood.api.platform.Row
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.platform.VmRecord

/** Result of a [StoreOperation]. */
sealed interface StoreResult {
    /** Answers [StoreOperation.Read]. */
    class ReadRow(val row: Row?) : StoreResult

    /** Answers [StoreOperation.Scan]. */
    class Scanned(val rows: List<Row>) : StoreResult

    /** Answers [StoreOperation.Transact] and [StoreOperation.Put]. */
    data object Applied : StoreResult

    /** Answers [StoreOperation.Get]. */
    class Found(val bytes: ByteArray?) : StoreResult

    /** Answers [StoreOperation.ListVms]. */
    class Vms(val records: List<VmRecord>) : StoreResult

    data class Failed(val failure: StoreFailure) : StoreResult
}
