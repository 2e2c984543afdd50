package io.poplarwood.entry.forward

import java.io.IOException

/** An exchange failed because of the caller; the failure says nothing about the upstream. */
internal open class CallerFailureException(message: String, cause: Throwable? = null) : IOException(message, cause)
