package io.poplarwood.gateway.http

import kotlin.time.Duration

/**
 * A request as one upstream gets it.
 *
 * @property left time until its deadline when it is sent
 * @property expect id of the upstream that may run it
 */
internal class Outbound(val request: CallerRequest, val left: Duration, val expect: String)
