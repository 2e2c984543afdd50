package io.poplarwood.gateway.runtime

import com.github.michaelbull.result.fold
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.adapter.Adapter
import io.poplarwood.gateway.http.ListenFailedException
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
 * Runs one gateway as a process, from its start until SIGTERM or SIGINT. Changes to the settings in [settingsFile] are
 * applied at once on SIGHUP, and otherwise within [SETTINGS_CHECK_INTERVAL_S] seconds.
 */
class GatewayDaemon(
    private val settings: GatewaySettings,
    private val adapter: Adapter,
    private val settingsFile: Path,
) {
    private enum class Command { STOP, RELOAD }

    private val ticker = Ticker { System.nanoTime().nanoseconds }
    private val commands = LinkedBlockingQueue<Command>()
    private var currentSettings = settings

    /** Runs the gateway; returns true after a planned stop, and false at once if an address cannot be listened at. */
    fun run(): Boolean {
        // Keeps Netty from scanning the network interfaces for a hardware address to build channel ids.
        System.setProperty("io.netty.machineId", "00:00:00:00:00:01")
        // Flight Recorder events of Netty's buffers are not used, and defining them slows the start noticeably.
        System.setProperty("io.netty.jfr.enabled", "false")
        val startedAt = ticker.now()
        Signal.handle(Signal("TERM")) { commands.add(Command.STOP) }
        Signal.handle(Signal("INT")) { commands.add(Command.STOP) }
        Signal.handle(Signal("HUP")) { commands.add(Command.RELOAD) }
        val random = SplitMix(System.nanoTime() xor settings.entry.hashCode().toLong())
        val sinceStart = { ticker.now() - startedAt }
        val process = GatewayProcess(settings, adapter, ticker, random, sinceStart = sinceStart)
        // Without this the event loop would keep a process alive whose start failed.
        return try {
            runUntilStopped(process)
            true
        } catch (e: ListenFailedException) {
            false
        } finally {
            GatewayLogging.flushAndStop()
            process.close()
        }
    }

    private fun runUntilStopped(process: GatewayProcess) {
        runBlocking { process.start() }
        while (commands.poll(SETTINGS_CHECK_INTERVAL_S, TimeUnit.SECONDS) != Command.STOP) reload(process)
        runBlocking { process.stop() }
    }

    private fun reload(process: GatewayProcess) = GatewaySettingsReader.read(settingsFile).fold(
        success = { newSettings ->
            if (newSettings != currentSettings) runBlocking { process.reload(newSettings) }
            currentSettings = newSettings
        },
        failure = process::reloadFailed,
    )

    private companion object {
        /** Interval at which the settings file is read and compared with the settings in force. */
        const val SETTINGS_CHECK_INTERVAL_S = 3L
    }
}
