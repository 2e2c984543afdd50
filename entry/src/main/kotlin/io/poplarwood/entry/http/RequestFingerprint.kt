package io.poplarwood.entry.http

import com.dynatrace.hash4j.hashing.Hashing

/** Identifies requests that do the same to an upstream. */
internal object RequestFingerprint {
    /** Hash over [service], [method], [target] with its query and the idempotency [key] when there is one. */
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

    /** The fingerprint [head] extended by a [body]. */
    fun withBody(head: Long, body: ByteArray): Long =
        Hashing.komihash5_0().hashStream().putLong(head).putByteArray(body).asLong
}
