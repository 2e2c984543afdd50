package io.poplarwood.gateway.peer

import kotlin.time.Duration

/**
 * A heartbeat to several entries.
 *
 * @property recipients `ip:port` of each
 * @property period time until the next heartbeat to the same entries
 * @property withLoad whether the heartbeat reports the in-flight requests of this entry
 */
internal class Heartbeats(val recipients: List<String>, val period: Duration, val withLoad: Boolean)
