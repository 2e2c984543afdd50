package io.poplarwood.entry.http

import java.io.IOException

/** The upstream's response ended before its declared length or its final chunk. */
internal class TruncatedResponseException(cause: Throwable?) : IOException("upstream response ended early", cause)
