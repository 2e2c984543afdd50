package io.poplarwood.entry.forward

import io.poplarwood.api.time.Ticker
import io.poplarwood.decision.routing.AttemptResult
import kotlinx.coroutines.Job
import kotlin.time.Duration

/**
 * What is known about one attempt beside the engine's own request.
 *
 * The engine's threads and the attempt's coroutine write it, the watch over all exchanges reads it.
 */
internal class Exchange(
    val outbound: OutboundRequest,
    private val job: Job,
    private val ticker: Ticker,
) : BodyProgress {
    /** Hands an arriving body to the connection; null for every other body. */
    val upload: UploadProducer? = (outbound.body as? RequestBody.Streaming)?.let { UploadProducer(it.length) }

    /** True from the moment the request is given to a connection; before that it provably did not run. */
    @Volatile
    var handedToConnection: Boolean = false
        private set

    /** Reading of the ticker when the connection last showed activity. */
    @Volatile
    var lastActivity: Duration = Duration.ZERO
        private set

    /** True while the next bytes of the body are awaited from the caller. */
    @Volatile
    var awaitsCaller: Boolean = false
        private set

    /** True once the head of the answer arrived. */
    @Volatile
    var headReceived: Boolean = false
        private set

    /** Why the exchange was ended from outside; null when it was not. */
    @Volatile
    var forcedResult: AttemptResult? = null
        private set

    /** Notes that the request goes to a connection. */
    fun markHandedToConnection() {
        lastActivity = ticker.now()
        handedToConnection = true
    }

    /** Notes the head of the answer; returns the time since the last activity. */
    fun markHeadReceived(): Duration {
        headReceived = true
        return ticker.now() - lastActivity
    }

    /** Ends the exchange with [result] and closes its connection. */
    fun endWith(result: AttemptResult) {
        forcedResult = result
        job.cancel()
    }

    override fun failed() = endWith(AttemptResult.CANCELLED)

    override fun awaitingCaller() {
        awaitsCaller = true
    }

    override fun sending() {
        lastActivity = ticker.now()
        awaitsCaller = false
    }
}
