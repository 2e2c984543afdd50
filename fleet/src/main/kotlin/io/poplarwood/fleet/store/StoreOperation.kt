package io.poplarwood.fleet.store

import io.poplarwood.api.platform.RowWrite

/** An operation on the platform that a state machine requests from its driver. */
sealed interface StoreOperation {
    /** Reads one row. */
    data class Read(val key: String) : StoreOperation

    /** Reads up to [limit] rows whose keys have [prefix] and follow [after], in key order. */
    data class Scan(val prefix: String, val after: String, val limit: Int) : StoreOperation

    /** Applies all writes atomically. */
    class Transact(val writes: List<RowWrite>) : StoreOperation

    /** Stores an object. */
    class Put(val name: String, val bytes: ByteArray) : StoreOperation

    /** Reads an object. */
    data class Get(val name: String) : StoreOperation

    /** Reads the VM list. */
    data object ListVms : StoreOperation
}
