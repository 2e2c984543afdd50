package io.poplarwood.entry.http

import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent

/** An answer that never has a body, whatever length it states (RFC 9112, 6.3). */
internal class BodilessResponse(override val status: HttpStatusCode, override val contentLength: Long?) :
    OutgoingContent.NoContent()
