package io.poplarwood.decision.once

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.outcome.RefusalReason
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class KeyTableSpec {
    private val table = KeyTable(KeyTableSettings(maxRecords = 3, maxAnswerBytes = 100))

    private fun open(key: String, fingerprint: Long = 1, issuedMs: Long = 0, nowMs: Long = 0) =
        table.open(key, issuedMs, fingerprint, nowMs)

    private fun refusal(admission: KeyAdmission) =
        assertIs<KeyOutcome.Refused>(assertIs<KeyAdmission.Decided>(admission).outcome).reason

    private fun answer(size: Int) = KeyOutcome.Answered(StoredResponse(200, emptyList(), ByteArray(size)))

    @Nested
    inner class `an answered key` {
        /**
         * Guards against memory that grows with the stored responses, and against a second run after a response was
         * dropped.
         */
        @Test
        fun `loses its answer but not its record when answers take too much memory`() {
            for (key in listOf("a", "b")) {
                assertIs<KeyAdmission.Run>(open(key))
                table.close(key, answer(60))
            }
            assertEquals(60L, table.storedBytes)
            assertEquals(RefusalReason.KEY_ANSWER_NOT_KEPT, refusal(open("a")))
            assertIs<KeyOutcome.Answered>(assertIs<KeyAdmission.Decided>(open("b")).outcome)
        }

        /** Guards against returning one caller's response to a different request that happens to use the same key. */
        @Test
        fun `refuses another request with the same key`() {
            open("a")
            table.close("a", answer(1))
            assertEquals(RefusalReason.MALFORMED, refusal(open("a", fingerprint = 2)))
        }
    }

    @Nested
    inner class `a full table` {
        /** Guards against a record that is dropped to make room, whose request would then run twice. */
        @Test
        fun `refuses new keys`() {
            for (key in listOf("a", "b", "c")) open(key)
            assertEquals(RefusalReason.OVERLOADED, refusal(open("d")))
            assertEquals(3, table.size)
        }
    }

    @Nested
    inner class `a clock set back` {
        /** Guards against a second run of a key whose record was dropped at the end of its lifetime. */
        @Test
        fun `does not make an expired key fresh`() {
            open("a")
            table.close("a", answer(1))
            table.sweep(600_000)
            assertEquals(0, table.size)
            assertEquals(RefusalReason.KEY_EXPIRED, refusal(open("a", nowMs = 300_000)))
        }
    }

    @Nested
    inner class `the text of a key` {
        private val owner = EntryRef(EntryId("entry-1"), Incarnation(1_700_000_000_000, -5))

        /** Guards against truncating a caller part with dots, which would make two keys equal. */
        @Test
        fun `is parsed to an equal key`() {
            val key = IssuedKey(owner, 1_700_000_000_123, "order.7.b")
            assertEquals(key, IssuedKey.parse(key.toString()))
        }

        /** Guards against taking a key that the caller made itself for an issued one. */
        @Test
        fun `is not recognised in other texts`() {
            for (text in listOf("", "order-7", "a.b.c.d", "entry-1.x-1.zz.", "entry 1.1-1.zz.a", "entry-1.1-1.-5.a")) {
                assertNull(IssuedKey.parse(text), text)
            }
            assertTrue(routeKey("order-7", owner) { false } == KeyRoute.Claim)
        }
    }
}
