package io.poplarwood.gateway.runtime

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/**
 * Looks at waiting requests while there are any, so that waits end in time although no slot becomes free.
 *
 * @param pump looks at them; true while some wait
 */
internal class QueueTimer(private val loop: EventLoop, private val pump: () -> Boolean) {
    private var scheduled = false

    /** Begins when it does not run already. */
    fun start() {
        if (scheduled) return
        scheduled = true
        loop.schedule(::run, STEP.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun run() {
        scheduled = false
        if (pump()) start()
    }

    private companion object {
        val STEP = 20.milliseconds
    }
}
