package io.poplarwood.gateway.http

import kotlinx.coroutines.Job

/**
 * A started request of a caller's connection and, once it is complete, the response in [answer].
 *
 * @property request null if [answer] refuses bytes that are no acceptable request
 */
internal class PipelinedExchange(val request: IncomingRequest?) {
    var job: Job? = null
    var answer: CallerResponse? = null
}
