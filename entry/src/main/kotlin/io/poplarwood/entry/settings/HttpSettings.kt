package io.poplarwood.entry.settings

import kotlinx.serialization.Serializable

/**
 * Settings of the callers' listener and of the connections to upstreams.
 *
 * @property port port of the listener; 0 selects any free port
 * @property maxRequestLineBytes longest request line accepted
 * @property maxHeaderBytes largest total size of the headers of a request
 * @property maxHeaderCount largest number of header lines accepted
 * @property callerIdleMs longest time in milliseconds from a caller's connection becoming idle to the next complete
 *   request head
 * @property bodyStallMs longest wait in milliseconds for more bytes of a request body
 * @property minBodyBytesPerSecond lowest rate accepted for a request body, averaged over the time spent waiting for the
 *   caller
 * @property callerConnections largest number of connections from one caller address
 * @property keptBodyBytes largest request body kept in memory for retries
 * @property connectTimeoutMs longest wait in milliseconds for a connection to an upstream
 * @property upstreamIdleMs time in milliseconds after which an idle upstream connection is closed
 * @property upstreamConnections largest number of connections to one upstream for which membership states no limit
 * @property probePath path of the request that probes whether a new connection to an upstream works
 * @property probeTimeoutMs longest wait in milliseconds for the answer to a probe
 * @property callerThreads threads of the callers' listener; 0 derives the number from the processors
 * @property upstreamThreads threads of the upstream connections; 0 derives the number from the processors
 * @property tls key and certificate of the callers' listener; null serves plain HTTP
 */
@Serializable
data class HttpSettings(
    val host: String = "0.0.0.0",
    val port: Int = 8080,
    val maxRequestLineBytes: Int = 8 * 1024,
    val maxHeaderBytes: Int = 32 * 1024,
    val maxHeaderCount: Int = 100,
    val callerIdleMs: Long = 75_000,
    val bodyStallMs: Long = 20_000,
    val minBodyBytesPerSecond: Long = 1_024,
    val callerConnections: Int = 1_024,
    val keptBodyBytes: Int = 64 * 1024,
    val connectTimeoutMs: Long = 1_000,
    val upstreamIdleMs: Long = 30_000,
    val upstreamConnections: Int = 64,
    val probePath: String = "/health",
    val probeTimeoutMs: Long = 1_000,
    val callerThreads: Int = 0,
    val upstreamThreads: Int = 0,
    val tls: TlsFiles? = null,
)
