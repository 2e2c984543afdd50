package io.poplarwood.entry.forward

/** Told about a body on its way from caller to upstream, so that a slow caller is not taken for a silent upstream. */
internal interface BodyProgress {
    /** The next bytes are awaited from the caller. */
    fun awaitingCaller()

    /** Bytes are being handed to the upstream's connection. */
    fun sending()

    /** The body cannot be completed; the connection that has part of it must be closed. */
    fun failed()
}
