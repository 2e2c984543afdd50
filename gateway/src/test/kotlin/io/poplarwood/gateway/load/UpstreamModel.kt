package io.poplarwood.gateway.load

import io.poplarwood.api.random.SplitMix
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a [UpstreamModel] consists of.
 *
 * @property slowShare share of the upstreams that are slow at any moment
 * @property workMs mean time of a request at an idle upstream of usual speed, in milliseconds
 * @property rate requests a second
 * @property aimMs time within which callers want their answers, in milliseconds
 */
internal class ModelParameters(
    val upstreams: Int,
    val slots: Int,
    val slowShare: Double,
    val workMs: Double,
    val rate: Double,
    val aimMs: Int,
)

/**
 * Load model in virtual time: upstreams with few slots that share their hosts with others. At any moment some work
 * several times as slowly, and which ones changes every [NOISE_SPAN]; one that is full is slower still and queues the
 * rest. Times are milliseconds of the model.
 */
internal class UpstreamModel(seed: Long, private val shape: ModelParameters) {
    private class Event(val at: Double, val order: Long, val act: () -> Unit)

    private class Upstream {
        var running = 0
        val queue = ArrayDeque<(Double) -> Unit>()
    }

    private val random = SplitMix(seed)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private val all = List(shape.upstreams) { Upstream() }
    private val noise = HashMap<Long, Double>()
    private var order = 0L

    /** Time of the model. */
    var now: Double = 0.0
        private set

    val time: Duration get() = now.milliseconds

    /** Does [act] after [delay]. */
    fun after(delay: Double, act: () -> Unit) {
        events += Event(now + delay, order++, act)
    }

    /** How many times as long as usual work takes at [upstream] now. */
    fun slowness(upstream: Int): Double {
        val span = (now / NOISE_SPAN).toLong()
        return noise.getOrPut(span * shape.upstreams + upstream) {
            if (random.nextDouble() <
                shape.slowShare
            ) {
                NOISE
            } else {
                1.0
            }
        }
    }

    /** Runs a request at [upstream]; [done] is told the slowness that the answer reports. */
    fun run(upstream: Int, done: (slowness: Double) -> Unit) {
        val row = all[upstream]
        if (row.running < shape.slots) begin(upstream, done) else row.queue += { begin(upstream, done) }
    }

    /** Lets [perSecond] requests a second arrive for [seconds], then ends what is running. */
    fun play(perSecond: Double, seconds: Int, arrive: () -> Unit) {
        schedule(perSecond, seconds * 1_000.0, arrive)
        while (true) {
            val event = events.poll() ?: return
            now = event.at
            event.act()
        }
    }

    private fun schedule(perSecond: Double, until: Double, arrive: () -> Unit) {
        val gap = -ln(1 - random.nextDouble()) * 1_000 / perSecond
        if (now + gap > until) return
        after(gap) {
            arrive()
            schedule(perSecond, until, arrive)
        }
    }

    private fun begin(upstream: Int, done: (Double) -> Unit) {
        val row = all[upstream]
        row.running++
        val crowded = if (row.running > shape.slots * KNEE) CROWDED else 1.0
        val work = shape.workMs * (1 - SPREAD + 2 * SPREAD * random.nextDouble())
        after(work * slowness(upstream) * crowded) {
            row.running--
            done(slowness(upstream))
            row.queue.removeFirstOrNull()?.invoke(now)
        }
    }

    private companion object {
        const val SPREAD = 0.3
        const val NOISE_SPAN = 300.0
        const val NOISE = 4.0
        const val KNEE = 0.8
        const val CROWDED = 1.7
    }
}
