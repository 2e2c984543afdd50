package io.poplarwood.entry.settings

import kotlinx.serialization.Serializable

/**
 * Settings of the callers' listener and of the connections to upstreams.
 *
 * @property port port of the listener; 0 takes any free one
 * @property maxRequestLineBytes longest request line accepted
 * @property maxHeaderBytes largest sum of header bytes accepted
 * @property maxHeaderCount most header lines accepted
 * @property callerIdleMs time a caller's connection may take from becoming idle to its next complete request head
 * @property bodyStallMs longest wait for the next bytes of a request body
 * @property minBodyBytesPerSecond slowest request body accepted, averaged over the time spent waiting for the caller
 * @property callerConnections connections accepted from one caller address
 * @property keptBodyBytes largest request body held in memory so that it can be sent again
 * @property connectTimeoutMs longest wait for a connection to an upstream
 * @property upstreamIdleMs age at which an idle upstream connection is closed
 * @property upstreamConnections connections to one upstream where membership states no limit
 * @property probePath path of the request that shows whether a fresh connection to an upstream works
 * @property probeTimeoutMs longest wait for its answer
 * @property callerThreads threads of the callers' listener; 0 derives them from the processors
 * @property upstreamThreads threads of the upstream connections; 0 derives them from the processors
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
