package io.poplarwood.entry.forward

import io.poplarwood.api.time.Ticker
import io.poplarwood.decision.routing.AttemptResult
import kotlinx.coroutines.Job
import kotlin.time.Duration

/**
 * State of one attempt that the HTTP client engine does not hold.
 *
 * Written by the engine's threads and the attempt's coroutine; read by [ExchangeMonitor].
 */
internal class Exchange(
    val outbound: OutboundRequest,
    private val job: Job,
    private val ticker: Ticker,
) : BodyProgress {
    /** Passes a streamed body to the connection; null for every other body. */
    val upload: UploadProducer? = (outbound.body as? RequestBody.Streaming)?.let { UploadProducer(it.length) }

    /** True once the request was passed to a connection; until then the upstream cannot have run it. */
    @Volatile
    var handedToConnection: Boolean = false
        private set

    /** Value of the ticker when the request or bytes of its body were last passed to the connection. */
    @Volatile
    var lastActivity: Duration = Duration.ZERO
        private set

    /** True while waiting for the next bytes of the body from the caller. */
    @Volatile
    var awaitsCaller: Boolean = false
        private set

    /** True once the head of the response arrived. */
    @Volatile
    var headReceived: Boolean = false
        private set

    /** Result with which [endWith] ended the exchange; null when the exchange runs or ended by itself. */
    @Volatile
    var forcedResult: AttemptResult? = null
        private set

    /** Records that the request is passed to a connection. */
    fun markHandedToConnection() {
        lastActivity = ticker.now()
        handedToConnection = true
    }

    /** Records the arrival of the response head; returns the time since [lastActivity]. */
    fun markHeadReceived(): Duration {
        headReceived = true
        return ticker.now() - lastActivity
    }

    /** Ends the exchange with [result]; cancelling its job closes its connection. */
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
