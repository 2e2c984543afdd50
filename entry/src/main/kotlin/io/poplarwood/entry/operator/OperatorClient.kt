package io.poplarwood.entry.operator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import io.ktor.client.HttpClient
import io.ktor.client.engine.apache5.Apache5
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.poplarwood.api.id.ServiceName
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

/**
 * Client of the operators' API. Tries [entries] (`host:port`) in order until one responds. A change is retried at the
 * next entry only when no connection was made, because otherwise the change may have taken effect.
 */
class OperatorClient(
    private val entries: List<String>,
    private val token: String,
    private val scheme: String = "http",
) :
    AutoCloseable {
    private val client = HttpClient(Apache5) {
        expectSuccess = false
        followRedirects = false
        engine { customizeClient { disableAutomaticRetries() } }
        install(HttpTimeout) {
            connectTimeoutMillis = CONNECT_TIMEOUT_MS
            requestTimeoutMillis = REQUEST_TIMEOUT_MS
            socketTimeoutMillis = REQUEST_TIMEOUT_MS
        }
    }

    /** The documents in force. */
    suspend fun classes(): Result<List<ServiceClasses>, OperatorFailure> = get("/v1/classes")

    /** Replaces a service's document by [text], which is JSON with comments. */
    suspend fun change(
        service: ServiceName,
        text: String,
        expectVersion: Long,
        wait: Boolean,
    ): Result<ChangeOutcome, OperatorFailure> =
        requestAny(HttpMethod.Put, "/v1/classes/$service", OUTCOME_STATUSES) {
            parameter("expectVersion", expectVersion)
            if (wait) parameter("wait", true)
            setBody(text)
        }

    /** The latest changes, newest first. */
    suspend fun history(): Result<List<HistoryRow>, OperatorFailure> = get("/v1/classes/history")

    /** What the first entry that responds knows about its cell. */
    suspend fun status(): Result<StatusReport, OperatorFailure> = get("/v1/status")

    /** The record of a request. Only the entry that handled the request has it, so a 404 leads to the next entry. */
    suspend fun explain(request: String): Result<ExplainReport, OperatorFailure> {
        var failure: Result<ExplainReport, OperatorFailure> = Err(OperatorFailure.Unreachable(entries))
        for (entry in entries) {
            val result = requestAndDecode<ExplainReport>(listOf(entry), HttpMethod.Get, "/v1/explain/$request") {}
            if (result.isOk) return result
            if (result.getError() is OperatorFailure.Refused) failure = result
        }
        return failure
    }

    /** Pauses or resumes automation. */
    suspend fun automation(paused: Boolean): Result<AutomationState, OperatorFailure> =
        requestAny(HttpMethod.Post, if (paused) "/v1/automation/pause" else "/v1/automation/resume") {}

    /** Whether the first entry that responds accepts new work. */
    suspend fun ready(): Result<Readiness, OperatorFailure> =
        requestAny(HttpMethod.Get, OperatorServer.READY_PATH, NOT_READY_STATUSES) {}

    /** Metrics of the first entry that responds, in Prometheus text format. */
    suspend fun metrics(): Result<String, OperatorFailure> =
        send(entries, HttpMethod.Get, "/metrics") {}.map { it.text }

    override fun close(): Unit = client.close()

    private suspend inline fun <reified T> get(path: String): Result<T, OperatorFailure> =
        requestAny(HttpMethod.Get, path) {}

    private suspend inline fun <reified T> requestAny(
        method: HttpMethod,
        path: String,
        decodableStatuses: Set<Int> = emptySet(),
        noinline configure: HttpRequestBuilder.() -> Unit,
    ): Result<T, OperatorFailure> = requestAndDecode(entries, method, path, decodableStatuses, configure)

    private suspend inline fun <reified T> requestAndDecode(
        targets: List<String>,
        method: HttpMethod,
        path: String,
        decodableStatuses: Set<Int> = emptySet(),
        noinline configure: HttpRequestBuilder.() -> Unit,
    ): Result<T, OperatorFailure> {
        val (entry, status, text) = send(targets, method, path, configure).getOrElse { return Err(it) }
        return try {
            if (status in SUCCESS_STATUSES ||
                status in decodableStatuses
            ) {
                Ok(Json.decodeFromString<T>(text))
            } else {
                Err(refusal(entry, status, text))
            }
        } catch (_: SerializationException) {
            Err(OperatorFailure.Refused(entry, status, "the response is not in the format that this version expects"))
        }
    }

    private suspend fun send(
        targets: List<String>,
        method: HttpMethod,
        path: String,
        configure: HttpRequestBuilder.() -> Unit,
    ): Result<RawResponse, OperatorFailure> {
        for (entry in targets) {
            try {
                val response = client.request {
                    this.method = method
                    url("$scheme://$entry$path")
                    header(HttpHeaders.Authorization, "Bearer $token")
                    configure()
                }
                return Ok(RawResponse(entry, response.status.value, response.bodyAsText()))
            } catch (_: ConnectException) {
                continue
            } catch (_: ConnectTimeoutException) {
                continue
            } catch (_: UnresolvedAddressException) {
                continue
            } catch (_: IOException) {
                if (method != HttpMethod.Get) return Err(OperatorFailure.AnswerLost(entry))
            }
        }
        return Err(OperatorFailure.Unreachable(targets))
    }

    private fun refusal(entry: String, status: Int, text: String): OperatorFailure {
        val error = runCatching { Json.decodeFromString<OperatorError>(text).error }.getOrDefault("status $status")
        return OperatorFailure.Refused(entry, status, error)
    }

    private data class RawResponse(val entry: String, val status: Int, val text: String)

    private companion object {
        const val CONNECT_TIMEOUT_MS = 2_000L
        const val REQUEST_TIMEOUT_MS = 30_000L
        val SUCCESS_STATUSES = 200..299
        val NOT_READY_STATUSES = setOf(503)
        val OUTCOME_STATUSES = setOf(409, 422, 503, 504)
    }
}
