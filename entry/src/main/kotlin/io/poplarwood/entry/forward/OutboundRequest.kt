package io.poplarwood.entry.forward

import kotlin.time.Duration

/**
 * One attempt's request to an upstream.
 *
 * @property address `ip:port` of the upstream
 * @property target request target exactly as the caller sent it
 * @property host value of the `Host` header
 * @property recentConnectionOnly whether to use only a new connection or one that was in use within the last second
 * @property latencyKey groups requests of similar latency
 * @property deadline value of the ticker at which waiting for the response head ends
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
