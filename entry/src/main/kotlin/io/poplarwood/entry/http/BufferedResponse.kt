package io.poplarwood.entry.http

import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent

/** An answer whose body is at hand. */
internal class BufferedResponse(override val status: HttpStatusCode, private val body: ByteArray) :
    OutgoingContent.ByteArrayContent() {
    override val contentLength: Long = body.size.toLong()

    override fun bytes(): ByteArray = body
}
