package io.poplarwood.gateway.peer

import kotlin.time.Duration

/**
 * One greeting to several entries.
 *
 * @property to `ip:port` of each
 * @property every time to the next greeting of the same entries
 * @property withLoad whether it tells of requests at upstreams
 */
internal class Greeting(val to: List<String>, val every: Duration, val withLoad: Boolean)
