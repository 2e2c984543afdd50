package io.poplarwood.gateway.peer

import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Logs heartbeats that were read long after they were sent, in one line for several. */
internal class LateHeartbeatLog(private val log: EventLog) {
    private var count = 0
    private var longest = Duration.ZERO
    private var loggedAt = -Duration.INFINITE

    /** Records that [hello] of [peer] was read at [now]. */
    fun record(hello: PeerMessage.Hello, peer: PeerStatus?, now: Duration) {
        val sentMs = hello.sentMs ?: return
        val delay = peer?.clock?.delay(sentMs, now) ?: return
        if (delay < MIN_DELAY) return
        count++
        longest = maxOf(longest, delay)
        if (now - loggedAt < LOG_INTERVAL) return
        log.log(GatewayEvent.HEARTBEATS_LATE, hello.from, count, longest.inWholeMilliseconds)
        loggedAt = now
        count = 0
        longest = Duration.ZERO
    }

    private companion object {
        /** Longer than any sound path and event loop delays a heartbeat. */
        val MIN_DELAY = 250.milliseconds
        val LOG_INTERVAL = 1.seconds
    }
}
