package io.poplarwood.standins.upstream

internal fun stats(gate: SlotLimiter, connections: ConnectionTracker, log: RequestStatistics): UpstreamStats = UpstreamStats(
    inFlight = gate.inFlight,
    maxInFlight = gate.maxInFlight,
    openConnections = connections.count,
    started = log.started.get(),
    completed = log.completed.get(),
    shed = log.shed.get(),
    drained = log.drained.get(),
    cancelled = log.cancelled.get(),
    cutUploads = log.cutUploads.get(),
    deadlines = log.deadlines.get(),
    probes = log.probes.get(),
    connections = connections.accepted.get(),
    connectionsRefused = connections.refused.get(),
    crashes = log.crashes.get(),
)
