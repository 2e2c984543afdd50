package io.poplarwood.entry.forward

import io.ktor.http.content.ByteArrayContent
import io.ktor.http.content.OutgoingContent
import io.ktor.utils.io.ByteWriteChannel

/** A request body in the form that the client engine sends. */
internal object OutboundContent {
    /** [body] as content; what moves is reported to [progress]. */
    fun of(body: RequestBody, progress: BodyProgress): OutgoingContent =
        when (body) {
            is RequestBody.None -> Empty
            is RequestBody.Kept -> ByteArrayContent(body.bytes)
            is RequestBody.Arriving -> Arriving(body, progress)
        }

    private object Empty : OutgoingContent.NoContent()

    private class Arriving(private val body: RequestBody.Arriving, private val progress: BodyProgress) :
        OutgoingContent.WriteChannelContent() {
        override val contentLength: Long? = body.length

        override suspend fun writeTo(channel: ByteWriteChannel) {
            try {
                body.copy(channel, progress)
            } catch (e: CallerFault) {
                // Ends the attempt itself: the engine only notices when it next asks for bytes.
                progress.failed()
                throw e
            }
        }
    }
}
