package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.store.Topic
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sizes and numbers of datagrams between entries, in virtual time. Stays within 60 s. */
class DatagramSizesSpec {
    private val store = SimulatedStore()
    private val serializer = PeerMessage.serializer()
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Sizes in bytes of the messages of a kind. */
    private val sizes = HashMap<String, ArrayList<Int>>()

    private fun id(index: Int) = "i-%08x".format(index * STRIDE)

    /** Entries that know [upstreams] upstreams. */
    private suspend fun TestScope.cluster(upstreams: Int): SimulatedCluster {
        store.put(Topic.DESIRED_STATE, "c", "1")
        for (index in 0 until upstreams) store.put(Topic.UPSTREAMS, id(index), "ready")
        val ticker = Ticker { testScheduler.currentTime.milliseconds }
        val cluster = SimulatedCluster(backgroundScope, ticker, store, listOf("a", "b"), PER_ZONE, 1)
        cluster.start()
        delay(4.seconds)
        cluster.onSend = { message, receivers ->
            val size = cbor.encodeToByteArray(serializer, message).size
            if (receivers > 0) sizes.getOrPut(message::class.simpleName.orEmpty()) { ArrayList() } += size
        }
        return cluster
    }

    private fun largest() = sizes.values.maxOf { it.max() }

    private suspend fun TestScope.timeUntil(condition: () -> Boolean): Duration {
        val from = testScheduler.currentTime
        while (!condition() && testScheduler.currentTime - from < MAX_WAIT_MS) delay(20.milliseconds)
        return (testScheduler.currentTime - from).milliseconds
    }

    private fun SimulatedCluster.active() = entries.filter { it.roles.active }

    private fun SimulatedCluster.Entry.total() = upstreams.all.sumOf { it.inFlight - it.ownInFlight }

    private fun print(what: String, upstreams: Int, took: Duration) {
        val figures = sizes.entries.joinToString { (kind, list) -> "${list.size} $kind up to ${list.max()} B" }
        println("$what, $upstreams upstreams: known after $took; $figures")
    }

    @Nested
    inner class `a heartbeat with load` {
        /** Guards against heartbeats that are lost because they name all upstreams with requests at once. */
        private fun check(upstreams: Int, bound: Duration) = runTest {
            val cluster = cluster(upstreams)
            val sender = cluster.active().first()
            // No update is scheduled, so that only heartbeats tell of these requests.
            for (row in sender.upstreams.all) row.ownInFlight = 3
            val others = cluster.active() - sender
            val took = timeUntil { others.all { it.total() == 3 * upstreams } }
            print("heartbeats, all upstreams in use", upstreams, took)
            assertTrue(took <= bound, "took $took")
            for (row in sender.upstreams.all) row.ownInFlight = 0
            val ended = timeUntil { others.all { it.total() == 0 } }
            assertTrue(ended <= bound * 2, "the end took $ended")
            assertTrue(largest() <= MAX_BYTES, "${largest()} bytes")
            backgroundScope.coroutineContext.cancelChildren()
        }

        /** Guards against upstreams that keep requests of an entry, or never get them, after a part was lost. */
        @Test
        fun `of 1,000 upstreams tells all although datagrams are lost`() = runTest {
            val cluster = cluster(1_000)
            val sender = cluster.active().first()
            val others = cluster.active() - sender
            cluster.loss = 0.2
            for (row in sender.upstreams.all) row.ownInFlight = 3
            val took = timeUntil { others.all { it.total() == 3_000 } }
            for (row in sender.upstreams.all.drop(1)) row.ownInFlight = 0
            val ended = timeUntil { others.all { it.total() == 3 } }
            assertTrue(maxOf(took, ended) <= 12.seconds, "took $took and $ended")
            backgroundScope.coroutineContext.cancelChildren()
        }

        /** Guards against marks of leaving that wait until the load of all upstreams was sent. */
        @Test
        fun `of 3,000 upstreams in use comes with every mark of leaving`() = runTest {
            val cluster = cluster(3_000)
            val sender = cluster.active().first()
            for (row in sender.upstreams.all) row.ownInFlight = 3
            val leaving = List(24) { id(it * 100) }
            for (id in leaving) sender.upstreams.markDraining(id, 1, testScheduler.currentTime.milliseconds)
            val others = cluster.active() - sender
            val took = timeUntil { others.all { entry -> leaving.none { entry.routesTo(it) } } }
            assertTrue(took <= 500.milliseconds, "took $took")
            assertTrue(largest() <= MAX_BYTES, "${largest()} bytes")
            backgroundScope.coroutineContext.cancelChildren()
        }

        /** Guards against heartbeats that wait behind the load on a link that is full. */
        @Test
        fun `of 3,000 upstreams in use leaves before the rest of the load`() = runTest {
            val cluster = cluster(3_000)
            val sender = cluster.active().first()
            for (row in sender.upstreams.all) row.ownInFlight = 3
            val kinds = ArrayList<String>()
            cluster.onSend = { message, _ ->
                if (message.from == sender.name) kinds += message::class.simpleName.orEmpty()
            }
            sender.peers.sendHeartbeats()
            assertEquals(kinds.sortedByDescending { it == "Hello" }, kinds)
            assertTrue(kinds.count { it != "Hello" } in 1..4, "$kinds")
            backgroundScope.coroutineContext.cancelChildren()
        }

        @Test
        fun `of 437 upstreams in use is bounded and tells all at once`() = check(437, 500.milliseconds)

        @Test
        fun `of 3,000 upstreams in use is bounded and tells all in turn`() = check(3_000, 4.seconds)

        @Test
        fun `of 11,000 upstreams in use is bounded and tells all in turn`() = check(11_000, 12.seconds)
    }

    @Nested
    inner class `an update of load` {
        /** Guards against updates that are lost because they name thousands of upstreams at once. */
        private fun check(upstreams: Int, bound: Duration) = runTest {
            val cluster = cluster(upstreams)
            val sender = cluster.active().first()
            for (row in sender.upstreams.all) {
                row.ownInFlight = 3
                sender.peers.loadGossip.scheduleUpdate(row)
            }
            val others = cluster.active() - sender
            val took = timeUntil { others.all { it.total() == 3 * upstreams } }
            print("updates of load, all upstreams", upstreams, took)
            assertTrue(took <= bound, "took $took")
            assertTrue(largest() <= MAX_BYTES, "${largest()} bytes")
            backgroundScope.coroutineContext.cancelChildren()
        }

        @Test
        fun `of 437 upstreams is bounded`() = check(437, 60.milliseconds)

        @Test
        fun `of 3,000 upstreams is bounded`() = check(3_000, 200.milliseconds)

        @Test
        fun `of 11,000 upstreams is bounded`() = check(11_000, 700.milliseconds)
    }

    @Nested
    inner class `an update of registrations` {
        /** Guards against updates that are lost because many registrations were removed at once. */
        private fun check(removed: Int, lost: Double) = runTest {
            val cluster = cluster(MANY)
            sizes.clear()
            cluster.loss = lost
            for (index in 0 until removed) store.put(Topic.UPSTREAMS, id(index), null)
            val took = timeUntil { cluster.entries.all { it.upstreams.all.size == MANY - removed } }
            print("$removed registrations removed, $lost of datagrams lost", MANY, took)
            assertTrue(took <= 2.seconds, "took $took")
            assertTrue(largest() <= MAX_BYTES, "${largest()} bytes")
            backgroundScope.coroutineContext.cancelChildren()
        }

        @Test
        fun `is bounded when a hundred are removed`() = check(100, 0.0)

        @Test
        fun `is bounded when most are removed`() = check(10_000, 0.0)

        @Test
        fun `leaves no entry behind when parts are lost`() = check(100, 0.3)
    }

    private companion object {
        const val MANY = 11_000
        const val PER_ZONE = 3
        const val STRIDE = 390_001
        const val MAX_WAIT_MS = 20_000

        /** The payload of an IPv6 packet that no link fragments, rounded down. */
        const val MAX_BYTES = 1_200
    }
}
