package io.poplarwood.gateway.peer

import kotlin.time.Duration

/**
 * One greeting to several entries.
 *
 * @property recipients `ip:port` of each
 * @property period time to the next greeting of the same entries
 * @property withLoad whether it tells of requests at upstreams
 */
internal class Heartbeats(val recipients: List<String>, val period: Duration, val withLoad: Boolean)
