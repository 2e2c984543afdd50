package io.poplarwood.gateway.http

/**
 * The requests of one caller's connection in their order: those that have begun and, behind them, those that wait.
 *
 * @param mayRepeat whether a request may run more than once; only such requests run beside each other
 */
internal class ExchangeQueue(private val mayRepeat: (IncomingRequest) -> Boolean) {
    private val waiting = ArrayDeque<IncomingRequest>()
    private val begun = ArrayDeque<PipelinedExchange>()

    val isEmpty: Boolean get() = waiting.isEmpty() && begun.isEmpty()

    /** Whether no request has begun. */
    val idle: Boolean get() = begun.isEmpty()

    /** Whether no more should be read before some of those that wait have begun. */
    val full: Boolean get() = waiting.size > MAX_WAITING

    /** Adds a whole request. */
    fun add(request: IncomingRequest) = waiting.addLast(request)

    /** The next request that may begin; null when there is none. With [alone], none begins beside another. */
    fun begin(alone: Boolean): PipelinedExchange? {
        val next = waiting.firstOrNull() ?: return null
        if (begun.isNotEmpty() && (alone || !mayRunBeside(next))) return null
        waiting.removeFirst()
        return PipelinedExchange(next).also { begun.addLast(it) }
    }

    private fun mayRunBeside(next: IncomingRequest): Boolean {
        if (begun.size >= MAX_BESIDE || begun.sumOf { it.answer?.body?.size ?: 0 } >= MAX_HELD_BYTES) return false
        return mayRepeat(next) && begun.all { it.request?.let(mayRepeat) ?: false }
    }

    /** Adds [answer] to bytes that are no request, behind all that have begun. */
    fun refuse(answer: Answer) {
        val refusal = PipelinedExchange(null)
        refusal.answer = answer
        begun.addLast(refusal)
    }

    /** Takes out the first request if it has its answer. */
    fun takeAnswered(): PipelinedExchange? {
        if (begun.firstOrNull()?.answer == null) return null
        return begun.removeFirst()
    }

    /** Drops the requests that have not begun; returns them. */
    fun dropWaiting(): List<IncomingRequest> = waiting.toList().also { waiting.clear() }

    /** Cancels those that have begun. */
    fun cancelBegun() {
        begun.forEach { it.job?.cancel() }
        begun.clear()
    }

    private companion object {
        /** Requests that run beside each other. */
        const val MAX_BESIDE = 8

        /** Whole requests held behind those that run. */
        const val MAX_WAITING = 8

        /** Bytes of answers that wait for their turn, beyond which no further request begins. */
        const val MAX_HELD_BYTES = 1024 * 1024
    }
}
