package io.poplarwood.decision.crash

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.random.SplitMix
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class CrashSearchSpec {
    /** Entries that receive each other's reports late, and one request that crashes every upstream that runs it. */
    private class Fleet(seed: Long, entries: Int) {
        val random = SplitMix(seed)
        val tables = List(entries) { index -> CrashTable(position = { EntryPosition(index, entries) }) }
        val reports = ArrayList<Triple<Duration, Int, CrashReport>>()
        var now = Duration.ZERO
        var lost = 0

        fun deliverDue() {
            for (report in reports.filter { it.first <= now }) {
                tables[report.second].merge(report.third, now)
                reports.remove(report)
            }
        }

        /**
         * Sends the crashing request to [entry], which runs it concurrently with an innocent one unless it must run
         * alone.
         */
        fun send(entry: Int, innocent: Long) {
            deliverDue()
            val verdict = tables[entry].verdict(POISON, now)
            if (verdict != CrashVerdict.Allow && verdict !is CrashVerdict.Trial) return
            val alone = verdict is CrashVerdict.Trial && verdict.alone
            val upstream = UpstreamId("10.0.0.${lost++}:80", "a")
            tables[entry].recordStart(POISON, now)
            val startedAt = now
            now += random.nextInt(20).milliseconds
            val concurrent = !alone && tables[entry].verdict(innocent, startedAt).let { it == CrashVerdict.Allow }
            val victims = if (concurrent) listOf(POISON, innocent) else listOf(POISON)
            for (victim in victims) {
                if (!tables[entry].recordLoss(victim, upstream, startedAt, now)) continue
                for (peer in tables.indices.filter { it != entry }) {
                    reports += Triple(now + random.nextInt(1_000).milliseconds, peer, CrashReport(victim, upstream))
                }
            }
        }
    }

    @Nested
    inner class `a request that kills every upstream` {
        /** Guards against a caller that resends a crashing request until no upstream is left. */
        @Test
        fun `kills at most three when it is sent through up to three entries`() = runTest {
            checkAll(PropTestConfig(seed = 3, iterations = 3_000), Arb.long()) { seed ->
                val fleet = Fleet(seed, entries = 3)
                repeat(120) {
                    fleet.now += fleet.random.nextInt(400).milliseconds
                    fleet.send(fleet.random.nextInt(3), it.toLong() % 7 + 2)
                }
                assertTrue(fleet.lost <= 3, "seed $seed lost ${fleet.lost}")
            }
        }

        /**
         * Guards against further losses after the reports of the first ones must have arrived, however many entries
         * there are.
         */
        @Test
        fun `kills at most three when each resend waits for the retry-after time`() = runTest {
            checkAll(PropTestConfig(seed = 4, iterations = 3_000), Arb.long()) { seed ->
                val fleet = Fleet(seed, entries = 16)
                repeat(200) {
                    fleet.now += CrashTable().propagationTime + fleet.random.nextInt(800).milliseconds
                    fleet.send(fleet.random.nextInt(16), it.toLong() % 7 + 2)
                }
                assertTrue(fleet.lost <= 3, "seed $seed lost ${fleet.lost}")
            }
        }

        /** Guards against refusing harmless requests because they shared an upstream with the crashing one. */
        @Test
        fun `does not cause the refusal of concurrent requests`() = runTest {
            checkAll(PropTestConfig(seed = 5, iterations = 3_000), Arb.long()) { seed ->
                val fleet = Fleet(seed, entries = 3)
                repeat(40) {
                    fleet.now += fleet.random.nextInt(800).milliseconds
                    fleet.send(fleet.random.nextInt(3), if (fleet.lost < 2) INNOCENT else OTHER)
                }
                fleet.now += 2_000.milliseconds
                fleet.deliverDue()
                for (t in fleet.tables) assertTrue(t.verdict(INNOCENT, fleet.now) !is CrashVerdict.Refuse, "seed $seed")
            }
        }
    }

    @Nested
    inner class `a lost connection` {
        private val table = CrashTable()
        private val upstream = UpstreamId("10.0.0.1:80", "a")

        /** Guards against holding requests for seconds after a connection was reset without a crash. */
        @Test
        fun `is no crash when the upstream answers a request that outlived it`() {
            table.recordLoss(POISON, upstream, 0.milliseconds, 10.milliseconds)
            assertTrue(table.recordAnswer(INNOCENT, upstream, 5.milliseconds, 20.milliseconds))
            assertEquals(CrashVerdict.Allow, table.verdict(POISON, 20.milliseconds))
        }

        /** Guards against a suspicion that lasts longer than ten minutes. */
        @Test
        fun `is dropped after ten minutes`() {
            repeat(3) { table.recordLoss(POISON, UpstreamId("10.0.0.$it:80", "a"), Duration.ZERO, Duration.ZERO) }
            assertTrue(table.verdict(POISON, 2_000.milliseconds) is CrashVerdict.Refuse)
            assertEquals(CrashVerdict.Allow, table.verdict(POISON, CrashSettings().expiry))
        }
    }

    private companion object {
        const val POISON = 1L
        const val INNOCENT = 2L
        const val OTHER = 20L
    }
}
