package io.poplarwood.decision.routing

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.random.SplitMix
import io.poplarwood.decision.limits.ConnectionShare
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue

internal class SubsetsSpec {
    private fun entry(n: Int) = EntryRef(EntryId("e$n"), Incarnation(1, n.toLong()))

    @Nested
    inner class `subsets of a large service` {
        /** Guards against upstreams or entries that get far more work than others while entries come and go. */
        @Test
        fun `stay balanced within a factor of 1_3 while entries come and go`() = runTest {
            checkAll(PropTestConfig(seed = 31, iterations = 20), Arb.int(14..64), Arb.int(100..900), Arb.int()) {
                e,
                u,
                s,
                ->
                val ids = List(u) { UpstreamId("10.0.${it / 250}.${it % 250}:80", "u") }
                val random = SplitMix(s.toLong())
                val live = (0 until e).map { entry(it) }.toMutableList()
                repeat(5) { round ->
                    val assigned = Subsets.assign(live, ids, 40)
                    val perEntry = IntArray(live.size)
                    for (members in assigned) for (m in members) perEntry[m]++
                    val perUpstream = assigned.map { it.distinct().size }
                    assertTrue(perEntry.max() <= 1.3 * perEntry.average(), "entries: ${perEntry.toList()}")
                    assertTrue(perUpstream.max() <= 1.3 * perUpstream.average(), "upstreams: $perUpstream")
                    if (random.nextInt(2) == 0) live.removeAt(random.nextInt(live.size)) else live += entry(100 + round)
                }
            }
        }
    }

    @Nested
    inner class `shares of an upstream's connections` {
        /** Guards against entries that together open more connections than the upstream accepts. */
        @Test
        fun `stay within the limit with a reserve for restarts`() = runTest {
            checkAll(PropTestConfig(seed = 32), Arb.int(64..250), Arb.int(1..50)) { limit, sharing ->
                val all = ConnectionShare.of(limit, sharing, 0.2) * sharing
                assertTrue(all <= limit * 0.8 || all == sharing, "$all of $limit")
            }
        }
    }
}
