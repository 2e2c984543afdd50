package io.poplarwood.gateway.http

/**
 * The requests of one caller's connection in the order received: those that were started and whose response has
 * not been sent and, behind them, those that are queued.
 *
 * @param isRetryable whether a request may run more than once; only such requests run concurrently
 */
internal class ExchangeQueue(private val isRetryable: (IncomingRequest) -> Boolean) {
    private val queued = ArrayDeque<IncomingRequest>()
    private val active = ArrayDeque<PipelinedExchange>()

    val isEmpty: Boolean get() = queued.isEmpty() && active.isEmpty()

    /** Whether the response to every started request has been sent. */
    val noneActive: Boolean get() = active.isEmpty()

    /** Whether reading from the connection must pause until queued requests have been started. */
    val full: Boolean get() = queued.size > MAX_QUEUED

    /** Adds a request that has been received completely. */
    fun enqueue(request: IncomingRequest) = queued.addLast(request)

    /** Starts the next request if it may run now; null otherwise. With [exclusive], one request runs at a time. */
    fun startNext(exclusive: Boolean): PipelinedExchange? {
        val next = queued.firstOrNull() ?: return null
        if (active.isNotEmpty() && (exclusive || !mayRunConcurrently(next))) return null
        queued.removeFirst()
        return PipelinedExchange(next).also { active.addLast(it) }
    }

    private fun mayRunConcurrently(next: IncomingRequest): Boolean {
        if (active.size >= MAX_RUNNING || active.sumOf { it.answer?.body?.size ?: 0 } >= MAX_UNSENT_BYTES) return false
        return isRetryable(next) && active.all { it.request?.let(isRetryable) ?: false }
    }

    /** Adds [answer], which refuses bytes that are no acceptable request, behind all started requests. */
    fun enqueueRefusal(answer: CallerResponse) {
        val refusal = PipelinedExchange(null)
        refusal.answer = answer
        active.addLast(refusal)
    }

    /** Removes and returns the first started request if its response is complete; null otherwise. */
    fun removeFirstCompleted(): PipelinedExchange? {
        if (active.firstOrNull()?.answer == null) return null
        return active.removeFirst()
    }

    /** Removes and returns the requests that have not been started. */
    fun dropQueued(): List<IncomingRequest> = queued.toList().also { queued.clear() }

    /** Cancels all started requests. */
    fun cancelActive() {
        active.forEach { it.job?.cancel() }
        active.clear()
    }

    private companion object {
        /** Requests of one connection that may run concurrently. */
        const val MAX_RUNNING = 8

        /** Queued requests beyond which reading from the connection pauses. */
        const val MAX_QUEUED = 8

        /** Bytes of complete responses that wait for earlier ones, beyond which no further request is started. */
        const val MAX_UNSENT_BYTES = 1024 * 1024
    }
}
