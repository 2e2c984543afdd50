package io.poplarwood.gateway.reach

import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.http.ConnectResult
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.support.SERVICE
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Twenty upstreams; this entry sends a request every 20 ms, which usually takes 60 ms. Virtual time. */
class UpstreamReachSpec {
    private val upstreams = UpstreamTable().apply { repeat(UPSTREAMS) { put(upstream("u$it"), Duration.ZERO) } }

    /** Upstreams that this entry cannot connect to, those that nobody can, and how long an attempt takes to fail. */
    private val unreachable = HashSet<String>()
    private val dead = HashSet<String>()
    private var failsAfter = 250.milliseconds
    private var slowness = 1
    private val changes = ArrayList<Pair<Duration, Boolean>>()
    private var connects = 0
    private lateinit var reach: UpstreamReach

    private val all = List(UPSTREAMS) { "u$it" }

    private fun simulate(body: suspend TestScope.() -> Unit) = runTest {
        val ticker = Ticker { testScheduler.currentTime.milliseconds }
        val byAddress = upstreams.all.groupBy { it.record.address }.mapValues { rows -> rows.value.first().id }
        reach = UpstreamReach(
            upstreams,
            { address -> connect(byAddress.getValue(address)) },
            { ids, _ -> ids.filterTo(HashSet()) { it !in dead } },
            SplitMix(7),
            ticker,
            backgroundScope,
            EventLog(),
            {},
            { changes += ticker.now() to reach.cutOff },
        )
        backgroundScope.launch {
            while (true) {
                reach.tick(neighborCutOff = false)
                delay(100.milliseconds)
            }
        }
        backgroundScope.launch {
            var next = 0
            while (true) {
                launch { attempt("u${next++ % UPSTREAMS}") }
                delay(20.milliseconds)
            }
        }
        delay(1.seconds)
        body()
    }

    private suspend fun connect(id: String): ConnectResult {
        connects++
        if (id !in unreachable && id !in dead) return ConnectResult.ACCEPTED
        delay(failsAfter)
        return if (failsAfter < 250.milliseconds) ConnectResult.REFUSED else ConnectResult.SILENT
    }

    private suspend fun attempt(id: String) {
        val row = checkNotNull(upstreams[id])
        val attempt = Any()
        reach.attemptStarted(attempt, row, 60.milliseconds)
        if (id in unreachable || id in dead) {
            delay(failsAfter)
            reach.attemptFailed(attempt, row)
        } else {
            delay(60.milliseconds * slowness)
            reach.attemptAnswered(attempt, row)
        }
    }

    @Nested
    inner class `an entry whose path is cut` {
        private fun assertFoundWithinASecond(cut: () -> Unit) = simulate {
            cut()
            delay(1.seconds)
            assertTrue(reach.isCut(SERVICE))
            assertTrue(reach.cutOff)
        }

        @Test
        fun `finds out within a second when connections hang`() = assertFoundWithinASecond { unreachable += all }

        @Test
        fun `finds out within a second when connections are refused`() = assertFoundWithinASecond {
            failsAfter = 2.milliseconds
            unreachable += all
        }

        @Test
        fun `finds out that it is whole again, and takes callers a moment later`() = simulate {
            unreachable += all
            delay(5.seconds)
            unreachable.clear()
            delay(1_500.milliseconds)
            assertFalse(reach.isCut(SERVICE))
            delay(1_500.milliseconds)
            assertFalse(reach.cutOff)
        }

        /** Guards against checks whose number grows with the time of a cut. */
        @Test
        fun `opens few connections meanwhile`() = simulate {
            unreachable += all
            delay(2.seconds)
            connects = 0
            delay(10.seconds)
            assertTrue(connects <= 70, "$connects connections in 10 s")
        }

        /** Guards against callers that are moved to and fro by a path that comes and goes. */
        @Test
        fun `moves its callers few times when the path comes and goes`() = simulate {
            repeat(10) {
                unreachable += all
                delay(2.seconds)
                unreachable.clear()
                delay(2.seconds)
            }
            assertTrue(changes.size <= 7, "$changes")
        }
    }

    @Nested
    inner class `an entry whose path is not cut` {
        private fun assertNeverCut(change: () -> Unit) = simulate {
            change()
            delay(10.seconds)
            assertEquals(emptyList(), changes)
        }

        /** Guards against entries that leave the directory because upstreams have ended. */
        @Test
        fun `does not count as cut off when all upstreams are dead`() = assertNeverCut { dead += all }

        @Test
        fun `does not count as cut off when three quarters of the upstreams refuse connections`() = assertNeverCut {
            failsAfter = 2.milliseconds
            dead += all.take(15)
        }

        @Test
        fun `does not count as cut off when upstreams are eight times slower`() = assertNeverCut { slowness = 8 }

        @Test
        fun `does not count as cut off when a third of the upstreams is out of its reach`() = assertNeverCut {
            unreachable += all.take(7)
        }
    }

    private companion object {
        const val UPSTREAMS = 20
    }
}
