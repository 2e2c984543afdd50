package io.poplarwood.entry.http

import io.ktor.http.HttpHeaders
import io.ktor.utils.io.readAvailable
import io.poplarwood.decision.once.StoredHeader
import io.poplarwood.decision.once.StoredResponse
import io.poplarwood.entry.forward.HopHeaders
import io.poplarwood.entry.forward.UpstreamResponse

/** Reads responses that are small enough to be stored for resends of their requests. */
internal object StoredAnswerReader {
    /**
     * Reads [response] into memory; null when it is larger than [StoredAnswer.MAX_BYTES] or its length is unknown.
     * Throws [TruncatedResponseException] when it ends early.
     */
    suspend fun readIfSmall(response: UpstreamResponse): StoredResponse? {
        val length = response.length ?: if (response.status in BODILESS) 0L else return null
        if (length > StoredResponse.MAX_BYTES) return null
        val connectionOptions = HopHeaders.connectionOptions(response.headers.getAll(HttpHeaders.Connection))
        val headers = ArrayList<StoredHeader>()
        response.headers.forEach { name, values ->
            val passesToCaller =
                HopHeaders.passesToCaller(name, connectionOptions) && !name.equals(HttpHeaders.ContentLength, true)
            if (passesToCaller) values.forEach { headers += StoredHeader(name, it) }
        }
        return StoredResponse(response.status, headers, read(response, length.toInt()))
    }

    private suspend fun read(response: UpstreamResponse, length: Int): ByteArray {
        val bytes = ByteArray(length)
        var offset = 0
        while (offset < length) {
            val read = response.body.readAvailable(bytes, offset, length - offset)
            if (read < 0) throw TruncatedResponseException(response.body.closedCause)
            offset += read
        }
        return bytes
    }

    private val BODILESS = setOf(204, 304)
}
