package io.poplarwood.bench.virtual

import io.poplarwood.api.random.RandomSource
import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.decision.routing.UpstreamView
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO

/**
 * An upstream in virtual time with [UpstreamView.slots] slots.
 *
 * @property whenFull what happens to a request that finds no free slot
 * @param shedCost work that one shed response costs: it takes this long, and the next service time grows by it
 */
class FakeUpstream(
    private val loop: EventLoop,
    val view: UpstreamView,
    private val times: ServiceTimes,
    private val random: RandomSource,
    val whenFull: WhenFull = WhenFull.SHED,
    private val shedCost: Duration = ZERO,
) {
    /** Factor on the service time of requests that start from now on. */
    var slowdown: Double = 1.0

    /** Whether every request is answered at once with a server error. */
    var failFast: Boolean = false

    /** Whether new requests are answered "draining, not run"; requests in flight end normally. */
    var draining: Boolean = false

    /** Requests in service. */
    var running: Int = 0
        private set

    /** Requests that were shed since the start. */
    var sheds: Long = 0
        private set

    /** Requests in service and, with [WhenFull.QUEUE], waiting. */
    val inFlight: Int get() = running + waiting.size

    private val waiting = ArrayDeque<Pair<Double, (AttemptResult) -> Unit>>()
    private var shedDebt = ZERO

    /**
     * Takes a request that arrives now and calls [done] at the upstream's side once its response leaves. Its service
     * time is multiplied by [size].
     */
    fun arrive(size: Double = 1.0, done: (AttemptResult) -> Unit) {
        when {
            draining -> done(AttemptResult.DRAINING)
            failFast -> done(AttemptResult.SERVER_ERROR)
            running < view.slots -> start(size, done)
            whenFull == WhenFull.QUEUE -> waiting.addLast(size to done)
            else -> shed(done)
        }
    }

    private fun start(size: Double, done: (AttemptResult) -> Unit) {
        running++
        val work = times.next(random) * (slowdown * size) + shedDebt
        shedDebt = ZERO
        loop.after(work) {
            running--
            waiting.removeFirstOrNull()?.let { start(it.first, it.second) }
            done(AttemptResult.ANSWERED)
        }
    }

    private fun shed(done: (AttemptResult) -> Unit) {
        sheds++
        shedDebt += shedCost
        loop.after(shedCost) { done(AttemptResult.BUSY) }
    }
}
