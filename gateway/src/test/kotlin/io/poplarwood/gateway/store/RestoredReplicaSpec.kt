package io.poplarwood.gateway.store

import io.poplarwood.gateway.upstream.AvailabilityState
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds

/** What a replica does when the store has come back from an older copy. */
internal class RestoredReplicaSpec : ReplicaFixture() {
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
