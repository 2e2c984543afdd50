package io.poplarwood.api.platform

import com.github.michaelbull.result.Result

/** The platform's object store. Objects are immutable: a name is written once. */
interface ObjectStore {
    /** Stores [bytes] at [name]; succeeds when the same bytes are there already. */
    suspend fun put(name: String, bytes: ByteArray): Result<Unit, StoreFailure>

    /** The bytes at [name], or null when there are none. */
    suspend fun get(name: String): Result<ByteArray?, StoreFailure>
}
