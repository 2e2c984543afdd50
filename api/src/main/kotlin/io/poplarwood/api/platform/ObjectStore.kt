package io.poplarwood.api.platform

import com.github.michaelbull.result.Result

/** The platform's object store. Objects are immutable: each name is written once. */
interface ObjectStore {
    /** Stores [bytes] under [name]; also succeeds when the same bytes are already stored. */
    suspend fun put(name: String, bytes: ByteArray): Result<Unit, StoreFailure>

    /** Reads the object [name]; null when absent. */
    suspend fun get(name: String): Result<ByteArray?, StoreFailure>
}
