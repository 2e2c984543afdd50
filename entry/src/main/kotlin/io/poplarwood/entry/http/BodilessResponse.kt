package io.poplarwood.entry.http

import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent

/** A response that never has a body, whatever its `Content-Length` states (RFC 9112, 6.3). */
internal class BodilessResponse(override val status: HttpStatusCode, override val contentLength: Long?) :
    OutgoingContent.NoContent()
