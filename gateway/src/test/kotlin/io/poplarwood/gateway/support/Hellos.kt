package io.poplarwood.gateway.support

import io.poplarwood.gateway.configuration.ConfigurationVersion
import io.poplarwood.gateway.peer.PeerMessage
import io.poplarwood.gateway.peer.PeerRecord
import io.poplarwood.gateway.store.StoreVersion

/** A heartbeat of an entry that started one minute ago and has version 1 of all rows of the store. */
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
    stateVersion = ConfigurationVersion(1, StoreVersion(1, 1)),
    upstreamVersion = StoreVersion(1, 1),
    coveredVersion = StoreVersion(1, 1),
    confirmedMs = 0,
    upMs = upMs,
    requestsPerS = rate,
    capacity = capacity,
    active = active,
    zoneActive = zoneActive,
)
