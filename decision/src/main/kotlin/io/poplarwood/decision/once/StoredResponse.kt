package io.poplarwood.decision.once

import kotlinx.serialization.Serializable

/** An upstream's complete response, kept for resends of its request. */
@Serializable
class StoredResponse(val status: Int, val headers: List<StoredHeader>, val body: ByteArray) {
    /** Approximate size in memory, in bytes. */
    val bytes: Int get() = body.size + headers.sumOf { it.name.length + it.value.length }

    companion object {
        /** Larger responses are not kept; a resend then gets `key-answer-not-kept`. */
        const val MAX_BYTES: Int = 64 * 1024
    }
}
