package io.poplarwood.bench.virtual

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.decision.routing.UpstreamState
import io.poplarwood.decision.routing.UpstreamView
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class FakeUpstreamSpec {
    private val loop = EventLoop()
    private val ended = ArrayList<Pair<AttemptResult, Duration>>()

    private fun upstream(whenFull: WhenFull): FakeUpstream {
        val view = UpstreamView(UpstreamId("10.0.1.1:80", "u"), Zone("z"), 2, 250, UpstreamState.LIVE)
        return FakeUpstream(loop, view, { 10.milliseconds }, SplitMix(1), whenFull)
    }

    private fun FakeUpstream.send(count: Int) = repeat(count) { arrive { ended += it to loop.now() } }

    @Nested
    inner class `an upstream with two slots that gets three requests` {
        /** Guards against a stand-in that hides overload, which would make every policy look good. */
        @Test
        fun `sheds the third at once`() {
            upstream(WhenFull.SHED).send(3)
            loop.runUntil(20.milliseconds)
            val expected = listOf(0 to AttemptResult.BUSY, 10 to AttemptResult.ANSWERED, 10 to AttemptResult.ANSWERED)
            assertEquals(expected, ended.map { it.second.inWholeMilliseconds.toInt() to it.first })
        }

        /** Guards against a queueing stand-in that runs more requests at once than it has slots. */
        @Test
        fun `or serves the third after the first`() {
            upstream(WhenFull.QUEUE).send(3)
            loop.runUntil(30.milliseconds)
            assertEquals(listOf(10L, 10L, 20L), ended.map { it.second.inWholeMilliseconds })
        }
    }

    @Nested
    inner class `an upstream that is slowed threefold` {
        /** Guards against a slowdown that changes requests already in service. */
        @Test
        fun `takes three times as long for requests that start then`() {
            val upstream = upstream(WhenFull.SHED)
            upstream.send(1)
            upstream.slowdown = 3.0
            upstream.send(1)
            loop.runUntil(40.milliseconds)
            assertEquals(listOf(10L, 30L), ended.map { it.second.inWholeMilliseconds })
        }
    }
}
