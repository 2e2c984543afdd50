package io.poplarwood.entry.forward

import kotlin.time.Duration

/**
 * One attempt's request as it leaves for an upstream.
 *
 * @property address `ip:port` of the upstream
 * @property target request target exactly as the caller sent it
 * @property host value of `Host`, passed on
 * @property recentConnectionOnly whether it may only use a connection that answered within the last second, or a new
 *   one
 * @property latencyKey groups requests that take similar time
 * @property deadline reading of the ticker at which waiting for the head of an answer ends
 */
internal class OutboundRequest(
    val address: String,
    val method: String,
    val target: String,
    val host: String,
    val headers: List<Pair<String, String>>,
    val body: RequestBody,
    val recentConnectionOnly: Boolean,
    val latencyKey: String,
    val deadline: Duration,
)
