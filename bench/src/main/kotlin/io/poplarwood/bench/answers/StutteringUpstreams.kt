package io.poplarwood.bench.answers

import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.bench.configurations.nowNs
import io.poplarwood.platform.standin.Reaction
import io.poplarwood.platform.standin.ReceivedRequest
import io.poplarwood.platform.standin.Repetition
import io.poplarwood.platform.standin.StandInCell
import io.poplarwood.platform.standin.StandInUpstream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Upstreams that serve, fail and reject requests, and send some answers a second time: half of them within
 * [SECOND_SPREAD_MS], half as the next request arrives on the connection.
 */
internal class StutteringUpstreams(
    cell: StandInCell,
    private val case: AnswersCase,
    private val ticker: Ticker,
    private val random: RandomSource,
) {
    private val runsByNumber = ConcurrentHashMap<Int, UpstreamRun>()
    private val runCount = AtomicInteger()
    private val upstreams: List<StandInUpstream> =
        List(UPSTREAMS) { cell.startUpstream("u$it", "s1", "z${it % 2 + 1}", SLOTS, ::react) }

    /** All runs so far, by their number. */
    val runs: Map<Int, UpstreamRun> get() = runsByNumber

    /** Connections that carried a request. */
    val connections: Int get() = upstreams.sumOf { it.connections }

    private fun react(request: ReceivedRequest): Reaction {
        val kind = draw()
        val repetition = if (draw() < case.secondShare) repetition() else null
        val delayMs = MIN_WORK_MS + (draw() * WORK_SPREAD_MS).toLong()
        if (kind < REJECTED_SHARE) return Reaction(rejection(request), repetition = repetition)
        val run = startRun(request, if (kind < REJECTED_SHARE + FAILED_SHARE) FAILED else SERVED)
        val reply = Reaction.reply(request, run.status, "${run.id}/${run.number}").bytes.decodeToString()
        val bytes = reply.replaceFirst("\r\n", "\r\nServer: stand-in\r\n").encodeToByteArray()
        return Reaction(bytes, delayMs, repetition = repetition)
    }

    private fun startRun(request: ReceivedRequest, status: Int): UpstreamRun {
        val run = UpstreamRun(runCount.incrementAndGet(), request.id, ticker.nowNs, status)
        runsByNumber[run.number] = run
        return run
    }

    private fun rejection(request: ReceivedRequest) =
        (if (case.rejectionsNameId) Reaction.shed(request) else Reaction.shedWithoutId()).bytes

    private fun repetition(): Repetition {
        val length = if (case.cutSeconds) 1 + (draw() * MAX_CUT_BYTES).toInt() else null
        if (draw() < 0.5) return Repetition.BeforeNextReply(length)
        return Repetition.After((draw() * SECOND_SPREAD_MS).toLong(), length)
    }

    private fun draw() = synchronized(random) { random.nextDouble() }

    private companion object {
        const val UPSTREAMS = 3
        const val SLOTS = 3
        const val SERVED = 200
        const val FAILED = 500
        const val REJECTED_SHARE = 0.1
        const val FAILED_SHARE = 0.2
        const val MIN_WORK_MS = 1L
        const val WORK_SPREAD_MS = 20
        const val SECOND_SPREAD_MS = 120

        /** Within the status line and the first field. */
        const val MAX_CUT_BYTES = 32
    }
}
