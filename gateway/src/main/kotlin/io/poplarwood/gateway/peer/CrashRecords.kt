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
    private val exchange: CrashExchange,
    private val scope: CoroutineScope,
    private val log: EventLog,
) {
    /** Keeps [suspect]. */
    fun keep(suspect: CrashSuspectNews) {
        val value = Json.encodeToString(CrashSuspectNews.serializer(), suspect).encodeToByteArray()
        scope.launch { insist { store.announce(keyOf(suspect.fingerprint), value) } }
    }

    /** Drops what is kept of requests with [fingerprint]. */
    fun drop(fingerprint: Long) {
        scope.launch { insist { store.withdraw(keyOf(fingerprint)) } }
    }

    /** Takes in the row [key]; false when it is none of these. */
    fun take(key: String, value: ByteArray): Boolean {
        if (!key.startsWith(PREFIX)) return false
        try {
            exchange.take(Json.decodeFromString(CrashSuspectNews.serializer(), value.decodeToString()), "store")
        } catch (e: SerializationException) {
            log.log(GatewayEvent.CRASH_UNREADABLE, key, e.message)
        }
        return true
    }

    private suspend fun insist(change: suspend () -> Result<Unit, StoreError>) {
        repeat(TRIES) {
            if (change().isOk) return
            delay(PAUSE)
        }
    }

    private fun keyOf(fingerprint: Long) = PREFIX + java.lang.Long.toHexString(fingerprint)

    private companion object {
        /** No name of an entry begins like this. */
        const val PREFIX = "refused/"
        const val TRIES = 20
        val PAUSE = 500.milliseconds
    }
}
