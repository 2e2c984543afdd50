package io.poplarwood.entry.http

import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent

/** A response whose body is held in memory. */
internal class BufferedResponse(override val status: HttpStatusCode, private val body: ByteArray) :
    OutgoingContent.ByteArrayContent() {
    override val contentLength: Long = body.size.toLong()

    override fun bytes(): ByteArray = body
}
