package io.poplarwood.gateway.peer

import com.github.michaelbull.result.Result
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.store.StateStore
import io.poplarwood.gateway.store.StoreError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.milliseconds

/**
 * Persists refused requests (those that upstreams ended under) in the store, for entries that start after all others
 * were lost.
 */
internal class CrashRecordStore(
    private val store: StateStore,
    private val gossip: CrashGossip,
    private val scope: CoroutineScope,
    private val log: EventLog,
) {
    /** Writes [suspect] to the store; retries in the background. */
    fun save(suspect: CrashSuspectUpdate) {
        val value = Json.encodeToString(CrashSuspectUpdate.serializer(), suspect).encodeToByteArray()
        scope.launch { withRetries { store.putEntryRow(keyOf(suspect.fingerprint), value) } }
    }

    /** Writes all records again. */
    fun saveAll() = gossip.records().forEach(::save)

    /** Removes the record of requests with [fingerprint] from the store; retries in the background. */
    fun delete(fingerprint: Long) {
        scope.launch { withRetries { store.deleteEntryRow(keyOf(fingerprint)) } }
    }

    /** Merges the row [key]; returns false when the row is not a crash record. */
    fun mergeRow(key: String, value: ByteArray): Boolean {
        if (!key.startsWith(KEY_PREFIX)) return false
        try {
            gossip.merge(Json.decodeFromString(CrashSuspectUpdate.serializer(), value.decodeToString()), "store")
        } catch (e: SerializationException) {
            log.log(GatewayEvent.CRASH_UNREADABLE, key, e.message)
        }
        return true
    }

    private suspend fun withRetries(change: suspend () -> Result<Unit, StoreError>) {
        repeat(MAX_ATTEMPTS) {
            if (change().isOk) return
            delay(RETRY_DELAY)
        }
    }

    private fun keyOf(fingerprint: Long) = KEY_PREFIX + java.lang.Long.toHexString(fingerprint)

    private companion object {
        /** No entry name begins with this prefix. */
        const val KEY_PREFIX = "refused/"
        const val MAX_ATTEMPTS = 20
        val RETRY_DELAY = 500.milliseconds
    }
}
