package io.poplarwood.gateway.http

import kotlinx.coroutines.Job

/**
 * A request of a caller's connection that has begun, with its [answer] once there is one. Answers leave in the order of
 * the requests.
 *
 * @property request null for a refusal of bytes that are no request
 */
internal class PipelinedExchange(val request: IncomingRequest?) {
    var job: Job? = null
    var answer: Answer? = null
}
