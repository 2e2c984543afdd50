package io.poplarwood.entry.http

import com.dynatrace.hash4j.hashing.Hashing

/** Identifies requests that do the same to an upstream. */
internal object RequestFingerprint {
    /** Hash over [service], [method], [path] and, when the caller brought one, the idempotency [key]. */
    fun of(
        service: String,
        method: String,
        path: String,
        key: String?,
    ): Long =
        Hashing.komihash5_0().hashStream()
            .putString(service)
            .putString(method)
            .putString(path)
            .putString(key.orEmpty())
            .asLong
}
