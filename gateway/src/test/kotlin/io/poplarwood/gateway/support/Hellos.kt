package io.poplarwood.gateway.support

import io.poplarwood.gateway.peer.PeerMessage
import io.poplarwood.gateway.peer.PeerRecord

/** A hello of an entry that has run for a minute and knows version 1 of all. */
internal fun hello(
    name: String,
    zone: String = "z1",
    serving: Boolean = true,
    stopping: Boolean = false,
    storeAnswers: Boolean = true,
    rate: Int = 10,
    capacity: Int = PeerRecord.DEFAULT_CAPACITY,
    active: Boolean = true,
    zoneActive: List<String> = emptyList(),
    upMs: Long = 60_000,
) = PeerMessage.Hello(
    from = name,
    zone = zone,
    callers = "$name:80",
    peers = "$name:1",
    serving = serving,
    stopping = stopping,
    storeAnswers = storeAnswers,
    stateVersion = 1,
    upstreamVersion = 1,
    coveredVersion = 1,
    confirmedMs = 0,
    upMs = upMs,
    requestsPerS = rate,
    capacity = capacity,
    active = active,
    zoneActive = zoneActive,
)
