package io.poplarwood.entry.forward

/** Body of a request to an upstream. */
internal sealed interface RequestBody {
    /** No body, as opposed to an empty one. */
    data object None : RequestBody

    /** A body held in memory, which can be sent any number of times. */
    class Buffered(val bytes: ByteArray) : RequestBody

    /**
     * A body that is sent while it arrives from the caller, and can be sent only once.
     *
     * @property length declared length in bytes; null for a chunked body
     * @property copy sends the complete body; throws [CallerFailureException] when the body arrives incomplete
     */
    class Streaming(val length: Long?, val copy: suspend (UploadProducer, BodyProgress) -> Unit) : RequestBody
}
