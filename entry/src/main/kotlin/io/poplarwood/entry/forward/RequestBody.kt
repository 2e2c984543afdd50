package io.poplarwood.entry.forward

/** Body of a request on its way to an upstream. */
internal sealed interface RequestBody {
    /** No body at all. */
    data object None : RequestBody

    /** A body at hand, which can be sent any number of times. */
    class Buffered(val bytes: ByteArray) : RequestBody

    /**
     * A body that is still arriving and can be sent once.
     *
     * @property length declared length; null when it comes in chunks
     * @property copy sends the whole body and fails when it arrives incomplete
     */
    class Streaming(val length: Long?, val copy: suspend (UploadProducer, BodyProgress) -> Unit) : RequestBody
}
