package io.poplarwood.gateway.runtime

import com.github.michaelbull.result.get
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.peer.CrashRecords
import io.poplarwood.gateway.peer.PeerRecord
import io.poplarwood.gateway.peer.PeerTable
import io.poplarwood.gateway.store.Rows
import io.poplarwood.gateway.store.StateStore
import io.poplarwood.gateway.store.Topic
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.milliseconds

/**
 * Enters this entry in the store and learns from there of the others. An entry writes before it reads, so of two that
 * start together at least one learns of the other, and greets it.
 */
internal class EntryRegistration(
    private val store: StateStore,
    private val self: String,
    private val record: PeerRecord,
    private val peers: PeerTable,
    private val ticker: Ticker,
    private val crashes: CrashRecords,
    private val log: EventLog,
) {
    /** Returns once both were done. */
    suspend fun run() {
        val value = Json.encodeToString(PeerRecord.serializer(), record).encodeToByteArray()
        while (store.announce(self, value).get() == null) delay(RETRY)
        for (row in readEntries().rows) row.value?.let { take(row.key, it) }
    }

    private suspend fun readEntries(): Rows {
        while (true) {
            store.read(Topic.ENTRIES).get()?.let { return it }
            delay(RETRY)
        }
    }

    private fun take(key: String, value: ByteArray) {
        if (!crashes.take(key, value)) learn(key, value)
    }

    private fun learn(name: String, value: ByteArray) {
        try {
            peers.know(name, Json.decodeFromString(PeerRecord.serializer(), value.decodeToString()), ticker.now())
        } catch (e: SerializationException) {
            log.log(io.poplarwood.gateway.log.GatewayEvent.UPSTREAM_UNREADABLE, name, e.message)
        }
    }

    private companion object {
        val RETRY = 250.milliseconds
    }
}
