package io.poplarwood.gateway.runtime

import com.github.michaelbull.result.fold
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.adapter.Adapter
import io.poplarwood.gateway.log.GatewayLogging
import io.poplarwood.gateway.settings.GatewaySettings
import io.poplarwood.gateway.settings.GatewaySettingsReader
import kotlinx.coroutines.runBlocking
import sun.misc.Signal
import java.nio.file.Path
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Runs one gateway as a process: from its start until a signal asks it to stop. Settings in [file] that change are
 * taken over, on SIGHUP at once and otherwise within seconds.
 */
class GatewayDaemon(
    private val settings: GatewaySettings,
    private val adapter: Adapter,
    private val file: Path,
) {
    private enum class Request { STOP, RELOAD }

    private val ticker = Ticker { System.nanoTime().nanoseconds }
    private val requests = LinkedBlockingQueue<Request>()
    private var current = settings

    /** Returns after a planned stop. */
    fun run() {
        // Netty would look through the network interfaces for a hardware address to name its channels.
        System.setProperty("io.netty.machineId", "00:00:00:00:00:01")
        // Nobody records its buffers' events, and defining them at run time takes a noticeable part of a start.
        System.setProperty("io.netty.jfr.enabled", "false")
        val began = ticker.now()
        Signal.handle(Signal("TERM")) { requests.add(Request.STOP) }
        Signal.handle(Signal("INT")) { requests.add(Request.STOP) }
        Signal.handle(Signal("HUP")) { requests.add(Request.RELOAD) }
        val random = SplitMix(System.nanoTime() xor settings.entry.hashCode().toLong())
        val sinceStart = { ticker.now() - began }
        val process = GatewayProcess(settings, adapter, ticker, random, sinceStart)
        runBlocking { process.start() }
        while (requests.poll(CHECK_SECONDS, TimeUnit.SECONDS) != Request.STOP) reload(process)
        runBlocking { process.stop() }
        GatewayLogging.flush()
        process.close()
    }

    private fun reload(process: GatewayProcess) = GatewaySettingsReader.read(file).fold(
        success = { next ->
            if (next != current) runBlocking { process.reload(next) }
            current = next
        },
        failure = process::reloadFailed,
    )

    private companion object {
        /** How often the settings file is compared with what is in force. */
        const val CHECK_SECONDS = 3L
    }
}
