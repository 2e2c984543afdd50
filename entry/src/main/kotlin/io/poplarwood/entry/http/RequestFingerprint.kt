package io.poplarwood.entry.http

import com.dynatrace.hash4j.hashing.Hashing

/** Hashes that are equal for requests that an upstream would process alike. */
internal object RequestFingerprint {
    /** Hash of [service], [method], [target] including its query, and the idempotency [key] if present. */
    fun of(
        service: String,
        method: String,
        target: String,
        key: String?,
    ): Long =
        Hashing.komihash5_0().hashStream()
            .putString(service)
            .putString(method)
            .putString(target)
            .putString(key.orEmpty())
            .asLong

    /** Hash of the fingerprint [head] and a [body]. */
    fun withBody(head: Long, body: ByteArray): Long =
        Hashing.komihash5_0().hashStream().putLong(head).putByteArray(body).asLong
}
