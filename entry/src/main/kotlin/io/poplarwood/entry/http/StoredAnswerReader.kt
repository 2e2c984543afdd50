package io.poplarwood.entry.http

import io.ktor.http.HttpHeaders
import io.ktor.utils.io.readAvailable
import io.poplarwood.decision.once.StoredAnswer
import io.poplarwood.decision.once.StoredHeader
import io.poplarwood.entry.forward.HopHeaders
import io.poplarwood.entry.forward.UpstreamResponse

/** Reads answers that are small enough to be kept for resends of their requests. */
internal object StoredAnswerReader {
    /** Reads [answer] whole; null when it is too large or of unknown length. Throws [TruncatedResponseException] when it ends early. */
    suspend fun keep(answer: UpstreamResponse): StoredAnswer? {
        val length = answer.length ?: if (answer.status in BODILESS) 0L else return null
        if (length > StoredAnswer.MAX_BYTES) return null
        val named = HopHeaders.named(answer.headers.getAll(HttpHeaders.Connection))
        val headers = ArrayList<StoredHeader>()
        answer.headers.forEach { name, values ->
            val passes = HopHeaders.passesToCaller(name, named) && !name.equals(HttpHeaders.ContentLength, true)
            if (passes) values.forEach { headers += StoredHeader(name, it) }
        }
        return StoredAnswer(answer.status, headers, read(answer, length.toInt()))
    }

    private suspend fun read(answer: UpstreamResponse, length: Int): ByteArray {
        val bytes = ByteArray(length)
        var at = 0
        while (at < length) {
            val read = answer.body.readAvailable(bytes, at, length - at)
            if (read < 0) throw TruncatedResponseException(answer.body.closedCause)
            at += read
        }
        return bytes
    }

    private val BODILESS = setOf(204, 304)
}
