package io.poplarwood.gateway.runtime

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs [dispatch] periodically while requests are queued, so that a wait ends at its limit even if no slot is freed.
 *
 * @param dispatch handles the queued requests; returns true while any remain queued
 */
internal class QueueTimer(private val eventLoop: EventLoop, private val dispatch: () -> Boolean) {
    private var scheduled = false

    /** Schedules the next run; does nothing when one is scheduled already. */
    fun start() {
        if (scheduled) return
        scheduled = true
        eventLoop.schedule(::run, INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun run() {
        scheduled = false
        if (dispatch()) start()
    }

    private companion object {
        val INTERVAL = 20.milliseconds
    }
}
