package io.poplarwood.gateway.http

import kotlin.time.Duration

/**
 * The connection that carries a request.
 *
 * @property number identifies the connection among those of its pool
 * @property position number of requests that the connection has carried, with this one
 * @property openedAt when the upstream accepted the connection
 */
internal class ConnectionUse(val number: Int, val position: Int, val openedAt: Duration) {
    override fun toString(): String = "c$number#$position"
}
