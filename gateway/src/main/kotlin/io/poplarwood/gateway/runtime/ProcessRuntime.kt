package io.poplarwood.gateway.runtime

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.metrics.GatewayMetrics
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What all parts of one gateway process run on: the event loop, the background thread, the clock, log and metrics. */
internal class ProcessRuntime(val ticker: Ticker, val random: RandomSource) : AutoCloseable {
    val eventLoopGroup: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val eventLoop: EventLoop = eventLoopGroup.next()
    val scope = CoroutineScope(SupervisorJob() + eventLoop.asCoroutineDispatcher())
    val background = BackgroundThread()
    val metrics = GatewayMetrics()
    val log = EventLog { metrics.errorLogged(it.id) }

    /** Runs [work] on the event loop after [pause]. */
    fun schedule(pause: Duration, work: () -> Unit) {
        eventLoop.schedule(work, pause.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Runs [work] on the event loop and restarts it when it fails; [part] names it in the log. */
    fun supervise(part: String, work: suspend () -> Unit) = scope.launch {
        while (true) {
            try {
                work()
                return@launch
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                log.log(GatewayEvent.FAILED, part, e.stackTraceToString())
                delay(RESTART_DELAY)
            }
        }
    }

    /** Ends everything that runs; waits until the event loop has closed its sockets. */
    override fun close() {
        scope.cancel()
        background.close()
        eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly(CLOSE_TIMEOUT_MS)
    }

    private companion object {
        val RESTART_DELAY = 200.milliseconds
        const val CLOSE_TIMEOUT_MS = 2_000L
    }
}
