package io.poplarwood.gateway.http

import kotlin.time.Duration

/** A connection that can be kept for a further request. */
internal interface PooledConnection {
    /** True while it can carry a request. */
    val open: Boolean

    /** Since when it has been idle, as a reading of the entry's ticker. */
    val idleSince: Duration

    /** Time for which the other end keeps it open while it is idle. */
    val keepAlive: Duration

    /** Ends it. */
    fun abandon()
}
