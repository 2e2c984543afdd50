package io.poplarwood.gateway.configuration

import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.support.NoTransferLog
import io.poplarwood.gateway.support.configuration
import io.poplarwood.gateway.support.storeVersion
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConfigurationFetcherSpec {
    private var own = ConfigurationHistory().apply { add(configuration(1, routes = 10)) }
    private val newer = ConfigurationHistory().apply {
        add(configuration(1, routes = 10))
        add(configuration(2, routes = 2_000))
    }
    private val asked = ArrayList<Pair<String, TransferQuery>>()
    private var holders = listOf("p", "q")

    /** Version that the holders announce. */
    private var offeredVersion = configuration(9, routes = 0).version

    /** What a peer does instead of answering as it should. */
    private var disturbance: suspend (peer: String, query: TransferQuery) -> TransferReply? =
        { peer, query -> senders.getValue(peer).reply(query) }
    private lateinit var senders: Map<String, ConfigurationSender>

    private fun TestScope.fetcher(): ConfigurationFetcher {
        val ticker = Ticker { testScheduler.currentTime.milliseconds }
        senders = listOf("p", "q", "r").associateWith {
            val admission = TransferAdmission<ConfigurationVersion>(TransferSlots(2), { false }, ticker)
            ConfigurationSender(newer, admission, { it() }, ticker, NoTransferLog)
        }
        return ConfigurationFetcher(
            "self",
            { peer, query ->
                asked += peer to query
                delay(5.milliseconds)
                disturbance(peer, query)
            },
            TransferSources("self", { isUseful -> if (isUseful(offeredVersion)) holders else emptyList() }, ticker),
            own,
            { it() },
            SplitMix(1),
            ticker,
            NoTransferLog,
        )
    }

    private fun askedOf(peer: String) = asked.filter { it.first == peer }.map { it.second.index }

    @Nested
    inner class `a fetch` {
        @Test
        fun `takes all pieces from one peer`() = runTest {
            assertEquals(2_000, fetcher().fetch()?.configuration?.state?.routes?.size)
            assertEquals(listOf(0, 1, 2, 3, 4), askedOf("p"))
        }

        /** Guards against a transfer that begins again from its first byte at the peer that did not send it. */
        @Test
        fun `goes on at another peer with the piece that is missing`() = runTest {
            val fetcher = fetcher()
            disturbance = { peer, query ->
                if (peer == "p" && query.index == 2) null else senders.getValue(peer).reply(query)
            }
            assertEquals(2_000, fetcher.fetch()?.configuration?.state?.routes?.size)
            assertEquals(listOf(2, 3, 4), askedOf("q"))
        }

        /** Guards against entries that all wait for the same sender. */
        @Test
        fun `follows a busy peer to one that it has served`() = runTest {
            val fetcher = fetcher()
            disturbance = { peer, query ->
                if (peer == "r") senders.getValue(peer).reply(query) else TransferReply.Busy(listOf("r"))
            }
            assertEquals(2_000, fetcher.fetch()?.configuration?.state?.routes?.size)
            assertEquals(1, askedOf("p").size)
        }

        @Test
        fun `asks a busy peer again after a pause`() = runTest {
            val fetcher = fetcher()
            holders = listOf("p")
            disturbance = { peer, query ->
                if (asked.size < 5) TransferReply.Busy(emptyList()) else senders.getValue(peer).reply(query)
            }
            assertEquals(2_000, fetcher.fetch()?.configuration?.state?.routes?.size)
        }

        /** Guards against a fetch that never ends when peers announce what they do not send. */
        @Test
        fun `ends when no peer has what was announced`() = runTest {
            val fetcher = fetcher()
            disturbance = { _, _ -> TransferReply.Nothing }
            assertNull(fetcher.fetch())
        }

        /** Guards against an entry that requests a change for ever which does not fit its own version. */
        @Test
        fun `requests the whole when a change does not fit the own version`() = runTest {
            val fetcher = fetcher()
            own.add(Configuration(configuration(1, routes = 3).state, storeVersion(10)))
            assertEquals(2_000, fetcher.fetch()?.configuration?.state?.routes?.size)
        }

        /** Guards against pieces of a change and of a whole that are joined because they lead to the same version. */
        @Test
        fun `does not go on with a sender that lacks the earlier version`() = runTest {
            val fetcher = fetcher()
            val whole = ConfigurationHistory().apply { add(configuration(2, routes = 2_000)) }
            val ticker = Ticker { Duration.ZERO }
            val admission = TransferAdmission<ConfigurationVersion>(TransferSlots(2), { false }, ticker)
            val other = ConfigurationSender(whole, admission, { it() }, ticker, NoTransferLog)
            disturbance = { peer, query ->
                when {
                    peer == "q" -> other.reply(query)
                    query.index == 2 && asked.count { it.first == "p" && it.second.index == 2 } == 1 -> null
                    else -> senders.getValue(peer).reply(query)
                }
            }
            assertEquals(2_000, fetcher.fetch()?.configuration?.state?.routes?.size)
            assertEquals(1, askedOf("p").count { it == 0 })
        }

        /** Guards against entries that ask a busy peer in a loop without a pause. */
        @Test
        fun `pauses when a busy peer names only entries that have nothing`() = runTest {
            val fetcher = fetcher()
            holders = listOf("p")
            disturbance = { peer, query ->
                when {
                    peer == "r" -> TransferReply.Nothing
                    testScheduler.currentTime < 1_000 -> TransferReply.Busy(listOf("r"))
                    else -> senders.getValue(peer).reply(query)
                }
            }
            assertEquals(2_000, fetcher.fetch()?.configuration?.state?.routes?.size)
            assertTrue(asked.size < 60, "${asked.size} queries in a second")
        }

        /** Guards against whole configurations for entries whose peers skipped a version. */
        @Test
        fun `takes the change from an earlier version when the peer skipped the newest own one`() = runTest {
            own.add(Configuration(configuration(1, routes = 12).state, storeVersion(15)))
            val fetcher = fetcher()
            val replies = ArrayList<TransferReply>()
            disturbance = { peer, query -> senders.getValue(peer).reply(query).also(replies::add) }
            assertEquals(2_000, fetcher.fetch()?.configuration?.state?.routes?.size)
            assertEquals(
                setOf(configuration(1, routes = 0).version),
                replies.map {
                    assertIs<TransferReply.Piece>(it).from
                }.toSet(),
            )
        }

        /** Guards against an entry that waits for a version that its peers have skipped while they have a newer one. */
        @Test
        fun `takes a newer version when the only peer with the first one becomes silent`() = runTest {
            val fetcher = fetcher()
            val skipping = ConfigurationHistory().apply {
                add(configuration(1, routes = 10))
                add(configuration(3, routes = 2_100))
            }
            val ticker = Ticker { testScheduler.currentTime.milliseconds }
            val admission = TransferAdmission<ConfigurationVersion>(TransferSlots(2), { false }, ticker)
            val other = ConfigurationSender(skipping, admission, { it() }, ticker, NoTransferLog)
            disturbance = { peer, query ->
                when {
                    peer == "q" -> other.reply(query)
                    query.index < 2 && asked.count { it.first == "p" } <= 2 -> senders.getValue(peer).reply(query)
                    else -> null.also { delay(500.milliseconds) }
                }
            }
            assertEquals(2_100, fetcher.fetch()?.configuration?.state?.routes?.size)
            val tookMs = testScheduler.currentTime
            assertTrue(tookMs < 2_000, "the newer version was complete after $tookMs ms")
        }

        /** Guards against a fetch that delays the next one although its version has arrived on another way. */
        @Test
        fun `ends when its version arrives on another way while a piece is missing`() = runTest {
            val fetcher = fetcher()
            holders = listOf("p")
            disturbance = { peer, query ->
                if (query.index == 2) {
                    newer.newest?.let(own::add)
                    null
                } else {
                    senders.getValue(peer).reply(query)
                }
            }
            assertNull(fetcher.fetch())
            val tookMs = testScheduler.currentTime
            assertTrue(tookMs < 500, "the fetch ended after $tookMs ms")
        }

        /** Guards against links that carry a whole configuration again and again which the receiver cannot use. */
        @Test
        fun `requests a whole that does not fit only a few times`() = runTest {
            val fetcher = fetcher()
            offeredVersion = configuration(2, routes = 0).version
            disturbance = { peer, query ->
                when (val reply = senders.getValue(peer).reply(query)) {
                    is TransferReply.Piece ->
                        TransferReply.Piece(reply.from, reply.to, reply.count, reply.digest + 1, reply.bytes)

                    else -> reply
                }
            }
            withTimeoutOrNull(10.seconds) {
                while (true) {
                    assertNull(fetcher.fetch())
                    delay(50.milliseconds)
                }
            }
            val wholes = asked.count { it.second.known.isEmpty() && it.second.index == 0 }
            assertTrue(wholes <= 10, "$wholes wholes were requested in 10 s")
        }

        /** Guards against an entry that stays behind because it could not use an earlier version. */
        @Test
        fun `requests the version after one that does not fit at once`() = runTest {
            val fetcher = fetcher()
            offeredVersion = configuration(2, routes = 0).version
            disturbance = { peer, query ->
                when (val reply = senders.getValue(peer).reply(query)) {
                    is TransferReply.Piece ->
                        TransferReply.Piece(reply.from, reply.to, reply.count, reply.digest + 1, reply.bytes)

                    else -> reply
                }
            }
            assertNull(fetcher.fetch())
            delay(1.seconds)
            disturbance = { peer, query -> senders.getValue(peer).reply(query) }
            newer.add(configuration(3, routes = 2_100))
            offeredVersion = configuration(3, routes = 0).version
            assertEquals(2_100, fetcher.fetch()?.configuration?.state?.routes?.size)
        }

        @Test
        fun `takes the whole when the peer has none of the own versions`() = runTest {
            own =
                ConfigurationHistory().apply {
                    add(Configuration(configuration(1, routes = 3).state, storeVersion(15)))
                }
            assertEquals(2_000, fetcher().fetch()?.configuration?.state?.routes?.size)
        }
    }
}
