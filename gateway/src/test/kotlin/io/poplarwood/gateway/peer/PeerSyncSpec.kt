package io.poplarwood.gateway.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.configuration.TransferAdmission
import io.poplarwood.gateway.configuration.TransferSlots
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.route.DesiredState
import io.poplarwood.gateway.store.RowSnapshot
import io.poplarwood.gateway.store.StateCodec
import io.poplarwood.gateway.store.StateReplica
import io.poplarwood.gateway.store.StoreError
import io.poplarwood.gateway.store.StoreVersion
import io.poplarwood.gateway.store.StoredRow
import io.poplarwood.gateway.support.hello
import io.poplarwood.gateway.support.storeVersion
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.Upstream
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Exchange of registrations between two entries. */
class PeerSyncSpec {
    private class Entry(val upstreams: UpstreamTable = UpstreamTable()) {
        val book = StateReplica(Codec, upstreams, { it() }, Ticker { Duration.ZERO }, EventLog(), {}, {})
    }

    private object Codec : StateCodec {
        override fun desiredState(value: ByteArray): Result<DesiredState, StoreError.Malformed> =
            Err(StoreError.Malformed("not used"))

        override fun upstream(key: String, value: ByteArray): Result<Upstream, StoreError.Malformed> = Ok(upstream(key))
    }

    private val sender = Entry()
    private val receiver = Entry()
    private val replySizes = ArrayList<Int>()

    private fun register(entry: Entry, keys: IntRange, version: Long) = entry.book.applyAllUpstreams(
        RowSnapshot(
            keys.map {
                StoredRow("u$it", "x".repeat(300).encodeToByteArray(), storeVersion(version))
            },
            storeVersion(version),
        ),
        "s",
    )

    private var now = Duration.ZERO
    private var takesCallers = true
    private val peers = PeerTable("receiver")
    private var peerSync: PeerSync? = null

    /** Lets the receiver fetch what it lacks from the sender. */
    private fun TestScope.sync() {
        val version = sender.book.upstreamVersion
        peers.onHeartbeat(hello("sender").copy(upstreamVersion = version), Duration.ZERO)
        val admission = TransferAdmission<StoreVersion>(TransferSlots(2), { false }, TICKER)
        val answering = RegistrationSender(sender.book, admission, { it() }, TICKER, EventLog())
        val ask: suspend (String, RegistrationQuery) -> RegistrationReply? = { _, query ->
            val parsed = assertNotNull(RegistrationQuery.parse(query.encode()))
            answering.reply(parsed).also { replySizes += Cbor.encodeToByteArray<RegistrationReply>(it).size }
        }
        val holders = NewerPeers("receiver", "z1", peers) { it.upstreamVersion }
        val sync = peerSync ?: PeerSync(
            "receiver",
            ask,
            holders,
            { takesCallers },
            receiver.book,
            SplitMix(1),
            backgroundScope,
            { now },
            EventLog(),
        ).also { peerSync = it }
        sync.syncIfBehind()
        runCurrent()
    }

    @Nested
    inner class `an entry that knows nothing` {
        /** Guards against one reply that grows with the number of upstreams. */
        @Test
        fun `receives all registrations in pages of bounded size`() = runTest {
            register(sender, 1..1_700, version = 10)
            sync()
            assertEquals(1_700, receiver.upstreams.all.size)
            assertEquals(4, replySizes.size)
            assertTrue(replySizes.max() < MAX_REPLY_BYTES, replySizes.toString())
        }
    }

    @Nested
    inner class `an entry that was cut off` {
        /** Guards against a cut of a second after which every registration is sent again. */
        @Test
        fun `receives only what changed meanwhile, removals included`() = runTest {
            register(sender, 1..1_700, version = 10)
            register(receiver, 1..1_700, version = 10)
            val changes = listOf(
                StoredRow("u7", null, storeVersion(11)),
                StoredRow("new", ByteArray(300), storeVersion(12)),
            )
            sender.book.applyUpstreamChanges(RowSnapshot(changes, storeVersion(12)), storeVersion(10), "s")
            sync()
            assertEquals(sender.upstreams.all.map { it.id }.toSet(), receiver.upstreams.all.map { it.id }.toSet())
            assertEquals(storeVersion(12), receiver.book.coveredVersion)
            assertTrue(replySizes.single() < 1_000, replySizes.toString())
        }
    }

    @Nested
    inner class `an entry that has just fetched` {
        private fun TestScope.changeAndSync(version: Long): StoreVersion {
            val change = listOf(StoredRow("u$version", ByteArray(300), storeVersion(version)))
            sender.book.applyUpstreamChanges(RowSnapshot(change, storeVersion(version)), storeVersion(version - 1), "s")
            sync()
            return receiver.book.upstreamVersion
        }

        /** Guards against several fetches a second by each standby entry while many upstreams start. */
        @Test
        fun `waits before it fetches again while it takes no callers`() = runTest {
            takesCallers = false
            register(sender, 1..10, version = 10)
            sync()
            now += PeerSync.STANDBY_INTERVAL - 1.milliseconds
            assertEquals(storeVersion(10), changeAndSync(11))
            now += 1.milliseconds
            assertEquals(storeVersion(12), changeAndSync(12))
        }

        /** Guards against an entry that sends requests to an upstream that left while it waited. */
        @Test
        fun `fetches again at once while it takes callers`() = runTest {
            register(sender, 1..10, version = 10)
            sync()
            assertEquals(storeVersion(11), changeAndSync(11))
        }

        /** Guards against a wait that outlasts the beginning of requests. */
        @Test
        fun `ends its wait when it begins to take callers`() = runTest {
            takesCallers = false
            register(sender, 1..10, version = 10)
            sync()
            assertEquals(storeVersion(10), changeAndSync(11))
            takesCallers = true
            sync()
            assertEquals(storeVersion(11), receiver.book.upstreamVersion)
        }
    }

    private companion object {
        val TICKER = Ticker { Duration.ZERO }
        const val MAX_REPLY_BYTES = 48 * 1024
    }
}
