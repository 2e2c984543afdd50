package io.poplarwood.fleet.store

import io.poplarwood.api.platform.Row
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.platform.VmRecord

/** What an operation gave. */
sealed interface StoreAnswer {
    /** Answers [StoreOperation.Read]. */
    class ReadRow(val row: Row?) : StoreAnswer

    /** Answers [StoreOperation.Scan]. */
    class Scanned(val rows: List<Row>) : StoreAnswer

    /** Answers [StoreOperation.Transact] and [StoreOperation.Put]. */
    data object Applied : StoreAnswer

    /** Answers [StoreOperation.Get]. */
    class Found(val bytes: ByteArray?) : StoreAnswer

    /** Answers [StoreOperation.ListVms]. */
    class Vms(val records: List<VmRecord>) : StoreAnswer

    /** The operation failed. */
    data class Failed(val failure: StoreFailure) : StoreAnswer
}
