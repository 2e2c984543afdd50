package io.poplarwood.gateway.http

import kotlin.time.Duration

/** A connection that can be kept idle and reused for a further request. */
internal interface PooledConnection {
    /** Whether the connection can carry a request. */
    val open: Boolean

    /** When the connection became idle, as a reading of the entry's ticker. */
    val idleSince: Duration

    /** How long the peer keeps the connection open while it is idle. */
    val keepAlive: Duration

    /** Closes the connection; a request in flight gets no result. */
    fun close()
}
