package io.poplarwood.gateway.http

import kotlin.time.Duration

/**
 * A request as it is sent to one upstream.
 *
 * @property remaining time from sending the request to its deadline
 * @property expectedUpstream id of the only upstream that may run the request
 */
internal class UpstreamRequest(val request: CallerRequest, val remaining: Duration, val expectedUpstream: String)
