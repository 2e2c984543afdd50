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
 * Keeps in the store which requests are refused because upstreams ended under them, for entries that start after the
 * loss of all others.
 */
internal class CrashRecords(
    private val store: StateStore,
    private val gossip: CrashGossip,
    private val scope: CoroutineScope,
    private val log: EventLog,
) {
    /** Keeps [suspect]. */
    fun keep(suspect: CrashSuspectUpdate) {
        val value = Json.encodeToString(CrashSuspectUpdate.serializer(), suspect).encodeToByteArray()
        scope.launch { withRetries { store.announce(keyOf(suspect.fingerprint), value) } }
    }

    /** Drops what is kept of requests with [fingerprint]. */
    fun drop(fingerprint: Long) {
        scope.launch { withRetries { store.withdraw(keyOf(fingerprint)) } }
    }

    /** Takes in the row [key]; false when it is none of these. */
    fun take(key: String, value: ByteArray): Boolean {
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
        /** No name of an entry begins like this. */
        const val KEY_PREFIX = "refused/"
        const val MAX_ATTEMPTS = 20
        val RETRY_DELAY = 500.milliseconds
    }
}
