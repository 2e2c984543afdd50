package io.poplarwood.gateway.load

import io.poplarwood.api.random.SplitMix
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Parameters of an [UpstreamModel].
 *
 * @property slots requests that an upstream runs concurrently
 * @property slowShare share of the upstreams that are slow at any moment
 * @property workMs mean service time of a request at an idle upstream of normal speed, in milliseconds
 * @property requestsPerS arrival rate in requests per second
 * @property targetMs response time that callers expect at most, in milliseconds
 */
internal class ModelParameters(
    val upstreams: Int,
    val slots: Int,
    val slowShare: Double,
    val workMs: Double,
    val requestsPerS: Double,
    val targetMs: Int,
)

/**
 * Load model of upstreams in virtual time. Upstreams have few slots and share their hosts with other VMs: at any moment
 * some of them are slowed down by [SLOW_FACTOR], and which ones changes every [SLOW_SPAN_MS]. An upstream whose slots
 * are nearly all in use is slowed down further; requests beyond its slots are queued. Times are virtual milliseconds.
 */
internal class UpstreamModel(seed: Long, private val parameters: ModelParameters) {
    private class Event(val atMs: Double, val sequence: Long, val action: () -> Unit)

    private class Upstream {
        var running = 0
        val queue = ArrayDeque<(Double) -> Unit>()
    }

    private val random = SplitMix(seed)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.sequence })
    private val upstreams = List(parameters.upstreams) { Upstream() }
    private val slownessBySpan = HashMap<Long, Double>()
    private var sequence = 0L

    /** Virtual time in milliseconds. */
    var nowMs: Double = 0.0
        private set

    val time: Duration get() = nowMs.milliseconds

    /** Runs [action] after [delayMs]. */
    fun schedule(delayMs: Double, action: () -> Unit) {
        events += Event(nowMs + delayMs, sequence++, action)
    }

    /** Current service time at [upstream] as a multiple of the normal one. */
    fun slowness(upstream: Int): Double {
        val span = (nowMs / SLOW_SPAN_MS).toLong()
        return slownessBySpan.getOrPut(span * parameters.upstreams + upstream) {
            if (random.nextDouble() <
                parameters.slowShare
            ) {
                SLOW_FACTOR
            } else {
                1.0
            }
        }
    }

    /** Runs a request at [upstream]; [onDone] receives the slowness that its response reports. */
    fun run(upstream: Int, onDone: (slowness: Double) -> Unit) {
        val state = upstreams[upstream]
        if (state.running < parameters.slots) start(upstream, onDone) else state.queue += { start(upstream, onDone) }
    }

    /** Simulates [requestsPerS] arrivals per second for [seconds], and then until all requests have ended. */
    fun simulate(requestsPerS: Double, seconds: Int, onArrival: () -> Unit) {
        scheduleArrivals(requestsPerS, seconds * 1_000.0, onArrival)
        while (true) {
            val event = events.poll() ?: return
            nowMs = event.atMs
            event.action()
        }
    }

    private fun scheduleArrivals(requestsPerS: Double, untilMs: Double, onArrival: () -> Unit) {
        val gapMs = -ln(1 - random.nextDouble()) * 1_000 / requestsPerS
        if (nowMs + gapMs > untilMs) return
        schedule(gapMs) {
            onArrival()
            scheduleArrivals(requestsPerS, untilMs, onArrival)
        }
    }

    private fun start(upstream: Int, onDone: (Double) -> Unit) {
        val state = upstreams[upstream]
        state.running++
        val crowdingFactor = if (state.running > parameters.slots * CROWDING_THRESHOLD) CROWDED_FACTOR else 1.0
        val workMs = parameters.workMs * (1 - WORK_SPREAD + 2 * WORK_SPREAD * random.nextDouble())
        schedule(workMs * slowness(upstream) * crowdingFactor) {
            state.running--
            onDone(slowness(upstream))
            state.queue.removeFirstOrNull()?.invoke(nowMs)
        }
    }

    private companion object {
        const val WORK_SPREAD = 0.3
        const val SLOW_SPAN_MS = 300.0
        const val SLOW_FACTOR = 4.0
        const val CROWDING_THRESHOLD = 0.8
        const val CROWDED_FACTOR = 1.7
    }
}
