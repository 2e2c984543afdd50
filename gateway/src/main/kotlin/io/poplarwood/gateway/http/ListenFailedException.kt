package io.poplarwood.gateway.http

import java.io.IOException

/** The entry cannot listen at [address] (`ip:port`), for example because another process does. */
class ListenFailedException(val address: String, cause: IOException) :
    IOException("cannot listen at $address: ${cause.message}", cause)
