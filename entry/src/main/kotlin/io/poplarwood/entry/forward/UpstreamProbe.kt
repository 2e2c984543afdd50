package io.poplarwood.entry.forward

import io.ktor.client.request.prepareGet
import io.poplarwood.entry.settings.HttpSettings
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Tests whether upstreams respond on a new connection. */
internal class UpstreamProbe(private val settings: HttpSettings) : AutoCloseable {
    private val pool = UpstreamPool(settings, Duration.ZERO, threads = 1)

    /** True when [address] responded within the probe timeout, with any status. */
    suspend fun send(address: String): Boolean =
        try {
            withTimeoutOrNull(settings.probeTimeoutMs.milliseconds) {
                pool.client.prepareGet("http://$address${settings.probePath}").execute { true }
            } ?: false
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
            false
        } catch (_: Exception) {
            false
        }

    override fun close() = pool.close()
}
