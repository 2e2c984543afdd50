package io.poplarwood.bench.load

import io.ktor.client.HttpClient
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.HttpMethod
import io.poplarwood.api.http.Headers
import io.poplarwood.api.time.Ticker
import io.poplarwood.standins.upstream.Pattern
import io.poplarwood.standins.upstream.RunResponse
import io.poplarwood.standins.upstream.StandInHeaders
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.apache.hc.core5.http.HttpException
import java.io.IOException
import java.net.ConnectException
import kotlin.time.Duration

/** Sends one request and checks that the answer is whole and belongs to it. */
internal class LoadCaller(
    private val of: LoadClass,
    private val book: EntryBook,
    private val client: HttpClient,
    private val ticker: Ticker,
    private val statistics: LoadStatistics,
) {
    private val upload = Pattern.bytes(of.name, 0, of.bodyBytes)
    private val digest = Pattern.digest(of.name, of.bodyBytes.toLong())

    /** Sends request [token], which was due at [due]. A refused connection is tried at another entry. */
    suspend fun call(token: String, due: Duration) {
        statistics.sent()
        repeat(CONNECT_ATTEMPTS) {
            val entry = book.next() ?: return statistics.noEntry(token)
            try {
                val response = send(entry, token)
                judge(response, response.bodyAsBytes(), token, due)
                return
            } catch (_: ConnectException) {
                book.unreachable(entry)
            } catch (_: ConnectTimeoutException) {
                book.unreachable(entry)
            } catch (_: HttpException) {
                // The answer is not well-formed HTTP.
                statistics.wrong()
                return
            } catch (_: IOException) {
                statistics.ended("unknown", "entry-connection-lost", token)
                return
            }
        }
        statistics.noEntry(token)
    }

    private suspend fun send(entry: DirectoryEntry, token: String): HttpResponse = client.request {
        method = HttpMethod.parse(of.method)
        url("http://${entry.address}${of.path}/$token")
        header(Headers.SERVICE, of.service.value)
        header(StandInHeaders.TOKEN, token)
        header(StandInHeaders.WORK_MS, of.work.inWholeMicroseconds / MICROS_PER_MILLI)
        if (of.keyed) header(Headers.IDEMPOTENCY_KEY, entry.keyPrefix + token)
        if (of.bodyBytes > 0) setBody(upload)
    }

    private fun judge(response: HttpResponse, bytes: ByteArray, token: String, due: Duration) {
        val outcome = response.headers[Headers.OUTCOME]
        when {
            outcome != null -> statistics.ended(outcome, response.headers[Headers.REASON] ?: "no-reason", token)
            response.status.value >= FIRST_SERVER_ERROR -> statistics.ended(
                "failed",
                "status-${response.status.value}",
                token,
            )
            belongs(bytes, token) -> statistics.served(ticker.now() - due)
            else -> statistics.wrong()
        }
    }

    private fun belongs(bytes: ByteArray, token: String): Boolean =
        try {
            val answer = Json.decodeFromString<RunResponse>(bytes.decodeToString())
            answer.token == token && answer.bodyBytes == of.bodyBytes.toLong() && answer.bodyDigest == digest
        } catch (_: SerializationException) {
            false
        }

    private fun LoadStatistics.noEntry(token: String) = ended("not-run", "no-entry", token)

    private companion object {
        const val CONNECT_ATTEMPTS = 3
        const val FIRST_SERVER_ERROR = 500
        const val MICROS_PER_MILLI = 1_000.0
    }
}
