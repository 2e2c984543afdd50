package io.poplarwood.gateway.runtime

import com.github.michaelbull.result.get
import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.peer.CrashRecordStore
import io.poplarwood.gateway.peer.PeerRecord
import io.poplarwood.gateway.peer.PeerTable
import io.poplarwood.gateway.store.RowSnapshot
import io.poplarwood.gateway.store.StateStore
import io.poplarwood.gateway.store.Topic
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Registers this entry in the store and reads the other entries from there. An entry writes before it reads, so of two
 * entries that start at the same time at least one finds the other and contacts it.
 */
internal class EntryRegistration(
    private val store: StateStore,
    private val self: String,
    private val record: PeerRecord,
    private val peers: PeerTable,
    private val ticker: Ticker,
    private val random: RandomSource,
    private val crashRecords: CrashRecordStore,
    private val log: EventLog,
) {
    /** Writes the registration, then reads those of the others; retries until both succeed. */
    suspend fun registerAndReadPeers() {
        register()
        readPeers()
    }

    /**
     * Writes again what the store lost when it came back from an older copy, at a time of its own; then finds entries
     * that started meanwhile and did not find this one.
     */
    suspend fun registerAgain() {
        delay(REWRITE_PERIOD * random.nextDouble())
        register()
        crashRecords.saveAll()
        delay(REWRITE_PERIOD)
        readPeers()
    }

    private suspend fun register() {
        val value = Json.encodeToString(PeerRecord.serializer(), record).encodeToByteArray()
        while (store.putEntryRow(self, value).get() == null) delay(RETRY_INTERVAL)
    }

    private suspend fun readPeers() {
        for (row in readEntries().rows) row.value?.let { acceptRow(row.key, it) }
    }

    private suspend fun readEntries(): RowSnapshot {
        while (true) {
            store.read(Topic.ENTRIES).get()?.let { return it }
            delay(RETRY_INTERVAL)
        }
    }

    private fun acceptRow(key: String, value: ByteArray) {
        if (!crashRecords.mergeRow(key, value)) addPeer(key, value)
    }

    private fun addPeer(name: String, value: ByteArray) {
        try {
            peers.addStored(name, Json.decodeFromString(PeerRecord.serializer(), value.decodeToString()), ticker.now())
        } catch (e: SerializationException) {
            log.log(GatewayEvent.UPSTREAM_UNREADABLE, name, e.message)
        }
    }

    private companion object {
        val RETRY_INTERVAL = 250.milliseconds

        /** Time over which all entries write their rows again. */
        val REWRITE_PERIOD = 1.seconds
    }
}
