package io.poplarwood.gateway.runtime

import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.configuration.BackgroundWork
import io.poplarwood.gateway.configuration.ConfigurationFetcher
import io.poplarwood.gateway.configuration.ConfigurationSender
import io.poplarwood.gateway.configuration.TransferAdmission
import io.poplarwood.gateway.configuration.TransferQuery
import io.poplarwood.gateway.configuration.TransferReply
import io.poplarwood.gateway.configuration.TransferSlots
import io.poplarwood.gateway.configuration.TransferSources
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.metrics.GatewayMetrics
import io.poplarwood.gateway.peer.ConfigurationSync
import io.poplarwood.gateway.peer.NewerPeers
import io.poplarwood.gateway.peer.PeerMessage
import io.poplarwood.gateway.peer.PeerRecord
import io.poplarwood.gateway.peer.PeerSync
import io.poplarwood.gateway.peer.PeerTable
import io.poplarwood.gateway.peer.RegistrationQuery
import io.poplarwood.gateway.peer.RegistrationReply
import io.poplarwood.gateway.peer.RegistrationSender
import io.poplarwood.gateway.store.StateReplica
import io.poplarwood.gateway.store.StoreVersion
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Exchange of the store's rows with other entries: desired states in pieces, registrations in pages.
 *
 * @param call requests the given path from the peer at an address; null when the peer does not reply in time
 * @param takesCallers whether this entry takes callers or still receives requests
 * @param linkMbps bandwidth of this VM's link, in megabits per second
 */
internal class StateExchange(
    self: String,
    record: PeerRecord,
    private val call: suspend (address: String, path: String) -> ByteArray?,
    peers: PeerTable,
    takesCallers: () -> Boolean,
    private val book: StateReplica,
    private val linkMbps: Double,
    background: BackgroundWork,
    random: RandomSource,
    private val scope: CoroutineScope,
    private val ticker: Ticker,
    log: EventLog,
    metrics: GatewayMetrics,
) {
    private val cbor = Cbor { ignoreUnknownKeys = true }
    private val transfers = TransferRecorder(log, metrics)
    private val peerTakesCallers = { address: String -> peers.active.any { it.record.peers == address } }

    private val configurationHolders = NewerPeers(self, record.zone, peers) { it.stateVersion }
    private val configurationSender =
        ConfigurationSender(book.history, admission(ticker), background, ticker, transfers)
    private val fetcher = ConfigurationFetcher(
        record.peers,
        { address, query -> ask(address, CONFIGURATION_PATH + query.encode()) },
        TransferSources(record.peers, configurationHolders::of, ticker),
        book.history,
        background,
        random,
        ticker,
        transfers,
    )
    private val configurations = ConfigurationSync(fetcher, configurationHolders, book, scope)

    private val registrationSender = RegistrationSender(book, admission(ticker), background, ticker, log)
    private val registrations = PeerSync(
        record.peers,
        { address, query -> ask(address, REGISTRATIONS_PATH + query.encode()) },
        NewerPeers(self, record.zone, peers, ::registrationVersion),
        takesCallers,
        book,
        random,
        scope,
        ticker,
        log,
    )
    private var scheduled = false

    /**
     * Version of the registrations that the sender of [hello] has. An entry whose registrations nobody has confirmed
     * for long may have missed a removal of which its peers, when all of them started after it, know only the absence.
     */
    private fun registrationVersion(hello: PeerMessage.Hello): StoreVersion {
        val unchangedSince = hello.unchangedSince ?: return hello.upstreamVersion
        val unconfirmed = ticker.now() - book.confirmedAt > MAX_UNCONFIRMED
        return if (unconfirmed && unchangedSince > book.coveredVersion) unchangedSince else hello.upstreamVersion
    }

    /**
     * Fetches what is newer after a short delay, since updates of one change arrive from several entries; without a
     * delay while this entry has no desired state.
     */
    fun scheduleSync() {
        if (scheduled) return
        scheduled = true
        scope.launch {
            if (book.state != null) delay(SYNC_DELAY)
            scheduled = false
            syncIfBehind()
        }
    }

    /** Fetches what a peer is known to have in a newer version. */
    fun syncIfBehind() {
        configurations.syncIfBehind()
        registrations.syncIfBehind()
    }

    /** Logs what was sent to peers since the last call, if anything was. */
    fun logReplies() {
        registrationSender.logReplies()
        transfers.flush(book.stateVersion.row)
    }

    /** Reply to a peer's request for [path]; null when the path is something else. */
    suspend fun reply(path: String): ByteArray? = when {
        path.startsWith(REGISTRATIONS_PATH) -> RegistrationQuery.parse(path.removePrefix(REGISTRATIONS_PATH))?.let {
            cbor.encodeToByteArray<RegistrationReply>(registrationSender.reply(it))
        }
        path.startsWith(CONFIGURATION_PATH) -> TransferQuery.parse(path.removePrefix(CONFIGURATION_PATH))?.let {
            cbor.encodeToByteArray<TransferReply>(configurationSender.reply(it))
        }
        else -> null
    }

    /** Receivers of configurations and of registrations are bounded apart: a receiver of both has a slot of each. */
    private fun <V : Comparable<V>> admission(ticker: Ticker) =
        TransferAdmission<V>(TransferSlots.forLink(linkMbps), peerTakesCallers, ticker)

    private suspend inline fun <reified T : Any> ask(address: String, path: String): T? {
        val bytes = call(address, path) ?: return null
        return try {
            cbor.decodeFromByteArray<T>(bytes)
        } catch (e: SerializationException) {
            null
        } catch (e: IllegalArgumentException) {
            null
        }
    }

    private companion object {
        /** An entry that reaches the store has asked it itself by then. */
        val MAX_UNCONFIRMED = 2.seconds

        const val REGISTRATIONS_PATH = "/state/"
        const val CONFIGURATION_PATH = "/configuration/"

        /** Updates of one change arrive from different entries within this time. */
        val SYNC_DELAY = 50.milliseconds
    }
}
