package io.poplarwood.gateway.store

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.poplarwood.gateway.support.storeVersion
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.slf4j.LoggerFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

internal class StateReplicaSpec : ReplicaFixture() {
    private fun state(value: String, version: Long) = runBlocking {
        book.applyStateRows(RowSnapshot(listOf(row("c", value, version)), storeVersion(version)), "s")
    }

    @Nested
    inner class `a desired state` {
        /** Guards against a change that is reverted because an older version arrives late, from a peer or the store. */
        @Test
        fun `is never replaced by an older one`() {
            state("5", 10)
            state("4", 9)
            assertEquals(5, book.state?.version)
            state("3", 11)
            assertEquals(5, book.state?.version)
            state("6", 12)
            assertEquals(6, book.state?.version)
        }

        @Test
        fun `that cannot be decoded leaves the earlier one in force`() {
            state("5", 10)
            state("x", 11)
            assertEquals(5, book.state?.version)
        }
    }

    @Nested
    inner class `registrations` {
        private fun applyAll(
            version: Long,
            vararg rows: StoredRow,
        ) = book.applyAllUpstreams(RowSnapshot(rows.toList(), storeVersion(version)), "s")

        /** Guards against an upstream that comes back because an older full read arrives late. */
        @Test
        fun `that were removed are not restored by an older full read`() {
            applyAll(10, row("a", "ready", 5), row("b", "ready", 6))
            book.applyUpstreamChanges(RowSnapshot(listOf(row("a", null, 11)), storeVersion(11)), storeVersion(10), "s")
            applyAll(10, row("a", "ready", 5), row("b", "ready", 6))
            assertNull(upstreams["a"])
            assertEquals(listOf("a"), unavailable)
        }

        /** Guards against requests to a draining upstream while missed changes are fetched. */
        @Test
        fun `with a gap before them are applied at once, and the gap stays recorded`() {
            applyAll(10, row("a", "ready", 5), row("b", "ready", 6))
            assertFalse(
                book.applyUpstreamChanges(
                    RowSnapshot(listOf(row("a", "draining", 20)), storeVersion(20)),
                    storeVersion(15),
                    "p",
                ),
            )
            assertEquals(true, upstreams["a"]?.record?.draining)
            assertEquals(storeVersion(10), book.coveredVersion)
            assertEquals(storeVersion(6), book.upstreamVersion)
            applyAll(20, row("a", "draining", 20), row("b", "ready", 12))
            assertEquals(storeVersion(20), book.coveredVersion)
        }

        /** Guards against a removed upstream that comes back because updates arrive out of order. */
        @Test
        fun `that were removed are not restored by late updates`() {
            applyAll(10, row("a", "ready", 5))
            book.applyUpstreamChanges(RowSnapshot(listOf(row("a", null, 12)), storeVersion(12)), storeVersion(10), "s")
            book.applyUpstreamChanges(
                RowSnapshot(listOf(row("a", "ready", 11)), storeVersion(11)),
                storeVersion(10),
                "p",
            )
            assertNull(upstreams["a"])
            book.applyUpstreamChanges(
                RowSnapshot(listOf(row("a", "ready", 13)), storeVersion(13)),
                storeVersion(12),
                "p",
            )
            assertNotNull(upstreams["a"])
        }

        /** Guards against one row that cannot be decoded and hides the others. */
        @Test
        fun `that cannot be decoded are ignored individually`() {
            applyAll(10, row("a", "nonsense", 5), row("b", "ready", 6))
            assertNull(upstreams["a"])
            assertNotNull(upstreams["b"])
        }

        /**
         * Guards against removing a running upstream because its registration expired while the store was unreachable.
         */
        @Test
        fun `that expire around an outage are kept for less than two seconds`() {
            applyAll(10, row("a", "ready", 5))
            upstreams["a"]?.lastAnswerAt = now
            book.expiryGraceUntil = now + 4.seconds
            applyAll(20)
            assertNotNull(upstreams["a"])
            now += 1.9.seconds
            book.checkExpiry()
            assertNull(upstreams["a"])
        }

        @Test
        fun `that expire and come back stay`() {
            applyAll(10, row("a", "ready", 5))
            upstreams["a"]?.lastAnswerAt = now
            book.expiryGraceUntil = now + 4.seconds
            applyAll(20)
            now += 1.seconds
            applyAll(21, row("a", "ready", 21))
            now += 2.seconds
            book.checkExpiry()
            assertNotNull(upstreams["a"])
        }

        /** Guards against a late whole read that removes an upstream which registered after it. */
        @Test
        fun `that are newer than a whole read are not removed by it`() {
            applyAll(10, row("a", "ready", 5))
            book.applyUpstreamChanges(
                RowSnapshot(listOf(row("b", "ready", 20)), storeVersion(20)),
                storeVersion(15),
                "p",
            )
            applyAll(12, row("a", "ready", 5))
            assertNotNull(upstreams["b"])
        }
    }

    @Nested
    inner class `changes for a peer` {
        private fun applyAll(
            version: Long,
            vararg rows: StoredRow,
        ) = book.applyAllUpstreams(RowSnapshot(rows.toList(), storeVersion(version)), "s")

        /** Guards against peers that receive every registration when one has changed. */
        @Test
        fun `are what changed or was removed since then`() {
            applyAll(10, row("a", "ready", 5), row("b", "ready", 6))
            book.applyUpstreamChanges(
                RowSnapshot(listOf(row("a", null, 12), row("c", "ready", 13)), storeVersion(13)),
                storeVersion(10),
                "s",
            )
            val changes = assertNotNull(book.upstreamChanges(storeVersion(10))).associate {
                it.key to (it.value != null)
            }
            assertEquals(mapOf("a" to false, "c" to true), changes)
        }

        /** Guards against an upstream that stays in use because its removal was forgotten. */
        @Test
        fun `are unknown when removals of that time were forgotten`() {
            applyAll(10, row("a", "ready", 5))
            for (i in 1..2_001L) {
                book.applyUpstreamChanges(
                    RowSnapshot(listOf(row("x$i", null, 10 + i)), storeVersion(10 + i)),
                    storeVersion(
                        9 + i,
                    ),
                    "s",
                )
            }
            assertNull(book.upstreamChanges(storeVersion(10)))
            assertNotNull(book.upstreamChanges(storeVersion(11)))
        }

        @Test
        fun `come in pages in the order of their keys`() {
            applyAll(10, row("c", "ready", 5), row("a", "ready", 6), row("b", "ready", 7))
            assertEquals(listOf("a", "b"), book.upstreamPage("", 2).map { it.key })
            assertEquals(listOf("c"), book.upstreamPage("b", 2).map { it.key })
        }
    }

    @Nested
    inner class `the log` {
        private val lines = ListAppender<ILoggingEvent>().apply { start() }
        private val logger = LoggerFactory.getLogger("poplarwood") as Logger

        @BeforeEach
        fun capture() {
            logger.level = Level.INFO
            logger.addAppender(lines)
        }

        @AfterEach
        fun release() {
            logger.detachAppender(lines)
        }

        private fun events(): List<String> = lines.list.map { line ->
            val fields = line.keyValuePairs.associate { it.key to it.value }
            listOfNotNull(fields["event"], fields["upstream"] ?: fields["upstreams"]).joinToString(" ")
        }

        private fun applyAll(version: Long, vararg rows: StoredRow) =
            book.applyAllUpstreams(RowSnapshot(rows.toList(), storeVersion(version)), "s")

        /** Guards against a start that spends its time on log lines, one for each upstream. */
        @Test
        fun `has one line for the first registrations, and one each for those that are draining or unreadable`() {
            val rows = (1L..20L).map { row("u$it", "ready", it) }.toTypedArray()
            applyAll(30, *rows, row("d", "draining", 21), row("x", "nonsense", 22))
            assertEquals(listOf("PW-6301 d", "PW-6303 x", "PW-6308 21"), events())
        }

        /** Guards against a change of an upstream that cannot be found in the log, however it arrived. */
        @Test
        fun `has a line for each later change`() {
            applyAll(10, row("a", "ready", 5), row("b", "ready", 6))
            lines.list.clear()
            applyAll(20, row("a", "draining", 12), row("b", "ready", 6), row("c", "ready", 13))
            book.applyUpstreamChanges(
                RowSnapshot(listOf(row("d", "ready", 21), row("b", null, 22)), storeVersion(22)),
                storeVersion(20),
                "p",
            )
            assertEquals(listOf("PW-6301 a", "PW-6301 c", "PW-6301 d", "PW-6302 b"), events())
        }

        /** Guards against a first whole read without a line when changes from a peer arrive before it. */
        @Test
        fun `has the line for the first registrations also after an earlier change`() {
            book.applyUpstreamChanges(RowSnapshot(listOf(row("a", "ready", 9)), storeVersion(9)), storeVersion(8), "p")
            applyAll(10, row("a", "ready", 9), row("b", "ready", 6))
            assertEquals(listOf("PW-6301 a", "PW-6308 2"), events())
        }
    }
}
