package io.poplarwood.entry.forward

import java.io.IOException

/** An exchange ended because of its caller; the upstream is not to blame. */
internal open class CallerFailureException(message: String, cause: Throwable? = null) : IOException(message, cause)
