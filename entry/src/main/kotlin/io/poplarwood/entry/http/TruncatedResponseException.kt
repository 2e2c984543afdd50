package io.poplarwood.entry.http

import java.io.IOException

/** The upstream's answer ended early after its head had gone to the caller. */
internal class TruncatedResponseException(cause: Throwable?) : IOException("the upstream's answer ended early", cause)
