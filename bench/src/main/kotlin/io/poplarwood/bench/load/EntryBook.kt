package io.poplarwood.bench.load

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.parameter
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.time.Ticker
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The entries that callers of one service use, asked for again when their lifetime ends. */
internal class EntryBook(
    private val service: ServiceName,
    private val known: List<String>,
    private val client: HttpClient,
    private val ticker: Ticker,
) {
    private val lock = Mutex()
    private var entries = emptyList<DirectoryEntry>()
    private var until = Duration.ZERO
    private var turn = 0

    /** The entry for the next request; callers are spread over all that are named. Null when none is. */
    suspend fun next(): DirectoryEntry? = lock.withLock {
        if (ticker.now() >= until) refresh()
        if (entries.isEmpty()) null else entries[turn++ % entries.size]
    }

    /** Leaves out [entry], which refused a connection, until the list is asked for again. */
    suspend fun unreachable(entry: DirectoryEntry) = lock.withLock {
        entries = entries - entry
        if (entries.isEmpty()) until = Duration.ZERO
    }

    private suspend fun refresh() {
        for (address in entries.map { it.address } + known) {
            val answer = ask(address) ?: continue
            entries = answer.entries
            until = ticker.now() + if (entries.isEmpty()) ASK_AGAIN else answer.lifetimeMs.milliseconds
            return
        }
        until = ticker.now() + ASK_AGAIN
    }

    private suspend fun ask(address: String): DirectoryAnswer? =
        try {
            val response = client.get("http://$address/poplarwood/entries") { parameter("service", service.value) }
            if (response.status == HttpStatusCode.OK) JSON.decodeFromString(response.bodyAsText()) else null
        } catch (_: IOException) {
            null
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
        val ASK_AGAIN = 200.milliseconds
    }
}
