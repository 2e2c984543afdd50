package io.poplarwood.entry.node

import com.github.michaelbull.result.get
import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.platform.RowWrite
import io.poplarwood.api.random.SplitMix
import io.poplarwood.decision.once.IssuedKey
import io.poplarwood.standins.platform.StandInPlatform
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Clock
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

internal class IdempotencyKeyServiceSpec {
    private val self = EntryRef(EntryId("entry-0"), Incarnation(1, 1))
    private val now = Instant.fromEpochMilliseconds(1_700_000_000_000)
    private val clock = object : Clock {
        override fun now() = this@IdempotencyKeyServiceSpec.now
    }
    private val table = StandInPlatform().table
    private val keys = IdempotencyKeyService(self, table, MembershipView(), clock, SplitMix(1)) { null }

    @Nested
    inner class `claims in the table` {
        /** Guards against a table that grows with every order, and against a second run while a resend is possible. */
        @Test
        fun `are kept for twice the lifetime of a key`() = runTest {
            claim("claim/old", issuedMs = (now - 21.minutes).toEpochMilliseconds())
            claim("claim/young", issuedMs = (now - 19.minutes).toEpochMilliseconds())
            keys.removeExpiredClaims()
            assertNull(table.read("claim/old").get())
            assertNotNull(table.read("claim/young").get())
        }
    }

    private suspend fun claim(row: String, issuedMs: Long) {
        val value = IssuedKey(self, issuedMs, "nonce").toString().encodeToByteArray()
        table.transact(listOf(RowWrite(row, 0, value)))
    }
}
