package io.poplarwood.entry.forward

/** Receives the progress of a streamed request body, so that a slow caller is not mistaken for a silent upstream. */
internal interface BodyProgress {
    /** Called before waiting for the next bytes from the caller. */
    fun awaitingCaller()

    /** Called when bytes came from the caller, before they go to the upstream's connection. */
    fun sending()

    /** Called when the body cannot be completed; the upstream connection that received part of it must be closed. */
    fun failed()
}
