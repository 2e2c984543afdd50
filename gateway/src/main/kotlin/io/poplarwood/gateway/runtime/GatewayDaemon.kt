package io.poplarwood.gateway.runtime

import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.adapter.Adapter
import io.poplarwood.gateway.log.GatewayLogging
import io.poplarwood.gateway.settings.GatewaySettings
import kotlinx.coroutines.runBlocking
import sun.misc.Signal
import java.lang.management.ManagementFactory
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/** Runs one gateway as a process: from its start until a signal asks it to stop. */
class GatewayDaemon(private val settings: GatewaySettings, private val adapter: Adapter) {
    private val ticker = Ticker { System.nanoTime().nanoseconds }

    /** Returns after a planned stop. */
    fun run() {
        // Netty would look through the network interfaces for a hardware address to name its channels.
        System.setProperty("io.netty.machineId", "00:00:00:00:00:01")
        val begunMs = ManagementFactory.getRuntimeMXBean().startTime
        val asked = CountDownLatch(1)
        Signal.handle(Signal("TERM")) { asked.countDown() }
        Signal.handle(Signal("INT")) { asked.countDown() }
        val random = SplitMix(System.nanoTime() xor settings.entry.hashCode().toLong())
        val sinceStart = { (System.currentTimeMillis() - begunMs).milliseconds }
        val process = GatewayProcess(settings, adapter, ticker, random, sinceStart)
        runBlocking { process.start() }
        asked.await()
        runBlocking { process.stop() }
        GatewayLogging.flush()
        process.close()
    }
}
