package io.poplarwood.gateway.store

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.route.CallerLimits
import io.poplarwood.gateway.route.DesiredState
import io.poplarwood.gateway.route.RouteTable
import io.poplarwood.gateway.support.storeVersion
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.AvailabilityState
import io.poplarwood.gateway.upstream.Upstream
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.collections.immutable.persistentMapOf
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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StateReplicaSpec {
    private var now: Duration = 100.seconds
    private val upstreams = UpstreamTable()
    private val unavailable = ArrayList<String>()
    private val book =
        StateReplica(Codec, upstreams, { it() }, Ticker { now }, EventLog(), {}, { unavailable += it.id })

    /** The value of a row is the version of a desired state or the state of an upstream, as text. */
    private object Codec : StateCodec {
        override fun desiredState(value: ByteArray): Result<DesiredState, StoreError.Malformed> {
            val version = value.decodeToString().toLongOrNull() ?: return Err(StoreError.Malformed("not a number"))
            return Ok(DesiredState(version, persistentMapOf(), RouteTable.EMPTY, CallerLimits()))
        }

        override fun upstream(key: String, value: ByteArray): Result<Upstream, StoreError.Malformed> =
            when (value.decodeToString()) {
                "ready" -> Ok(upstream(key))
                "draining" -> Ok(upstream(key, draining = true))
                else -> Err(StoreError.Malformed("unknown state"))
            }
    }

    private fun row(key: String, value: String?, version: Long) =
        StoredRow(key, value?.encodeToByteArray(), storeVersion(version))

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
    inner class `a store that came back from an older copy` {
        private fun inEra(era: Long, key: String, value: String?, change: Long) =
            StoredRow(key, value?.encodeToByteArray(), StoreVersion(era, change))

        private fun applyAll(era: Long, change: Long, vararg rows: StoredRow) =
            book.applyAllUpstreams(RowSnapshot(rows.toList(), StoreVersion(era, change)), "s")

        private fun stateOf(era: Long, value: String, change: Long) = runBlocking {
            val version = StoreVersion(era, change)
            book.applyStateRows(RowSnapshot(listOf(inEra(era, "c", value, change)), version), "s")
        }

        /** Guards against changes that count as old because the store gives out their numbers again. */
        @Test
        fun `has changes that are newer although their numbers are lower`() {
            stateOf(1, "5", 100)
            stateOf(2, "4", 60)
            assertEquals(5, book.state?.version)
            stateOf(2, "6", 61)
            assertEquals(6, book.state?.version)
        }

        /** Guards against an entry that counts as behind because peers have read the older desired state. */
        @Test
        fun `leaves an entry up to date whose peers have read an older desired state`() {
            stateOf(1, "5", 100)
            book.freshness.accept(StoreVersion(2, 60))
            book.freshness.heard("p", StoreVersion(1, 100), StoreVersion(2, 60), now, now)
            assertEquals(now, book.freshness.confirmedAt)
            assertNull(book.freshness.behind)
        }

        /** Guards against requests to an upstream that had announced to leave. */
        @Test
        fun `does not make a draining upstream ready again`() {
            applyAll(1, 100, inEra(1, "a", "ready", 5))
            book.applyUpstreamChanges(
                RowSnapshot(listOf(inEra(1, "a", "draining", 101)), StoreVersion(1, 101)),
                StoreVersion(1, 100),
                "s",
            )
            applyAll(2, 60, inEra(2, "a", "ready", 5))
            assertEquals(AvailabilityState.LEAVING, upstreams["a"]?.availability?.state(now))
        }

        /** Guards against requests to an upstream that has left and came back with the copy. */
        @Test
        fun `does not use an upstream that was removed before its registration should have expired again`() {
            applyAll(1, 100, inEra(1, "a", "ready", 5), inEra(1, "b", "ready", 6))
            applyAll(1, 101, inEra(1, "b", "ready", 6))
            applyAll(2, 60, inEra(2, "a", "ready", 5), inEra(2, "b", "ready", 6))
            assertNull(upstreams["a"])
            book.confirm(now + 5_499.milliseconds)
            book.checkExpiry()
            assertNull(upstreams["a"])
            book.confirm(now + 5_500.milliseconds)
            book.checkExpiry()
            assertNotNull(upstreams["a"])
        }

        @Test
        fun `uses an upstream that was removed and has registered again since`() {
            applyAll(1, 100, inEra(1, "a", "ready", 5))
            applyAll(1, 101)
            applyAll(2, 60, inEra(2, "a", "ready", 5))
            book.applyUpstreamChanges(
                RowSnapshot(listOf(inEra(2, "a", "ready", 61)), StoreVersion(2, 61)),
                StoreVersion(2, 60),
                "s",
            )
            assertNotNull(upstreams["a"])
        }

        /** Guards against an answer of the lost era that arrives late and brings back what was lost. */
        @Test
        fun `is not changed by late news of the earlier era`() {
            applyAll(1, 100, inEra(1, "a", "ready", 5))
            applyAll(2, 60, inEra(2, "a", "ready", 5))
            val late = RowSnapshot(listOf(inEra(1, "b", "ready", 101)), StoreVersion(1, 101))
            book.applyUpstreamChanges(late, StoreVersion(1, 100), "p")
            assertNull(upstreams["b"])
            assertEquals(StoreVersion(2, 60), book.coveredVersion)
        }

        @Test
        fun `is noticed once for each era`() {
            var noticed = 0
            book.onRestored = { noticed++ }
            applyAll(1, 100, inEra(1, "a", "ready", 5))
            assertEquals(0, noticed)
            book.observe(StoreVersion(2, 60))
            applyAll(2, 60, inEra(2, "a", "ready", 5))
            assertEquals(1, noticed)
            book.observe(StoreVersion(3, 50))
            assertEquals(2, noticed)
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
