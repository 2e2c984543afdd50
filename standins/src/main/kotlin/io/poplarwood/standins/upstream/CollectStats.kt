package io.poplarwood.standins.upstream

internal fun collectStats(
    slotLimiter: SlotLimiter,
    connections: ConnectionTracker,
    statistics: RequestStatistics,
): UpstreamStats = UpstreamStats(
    inFlight = slotLimiter.inFlight,
    maxInFlight = slotLimiter.maxInFlight,
    openConnections = connections.count,
    started = statistics.started.get(),
    completed = statistics.completed.get(),
    shed = statistics.shed.get(),
    drained = statistics.drained.get(),
    cancelled = statistics.cancelled.get(),
    cutUploads = statistics.cutUploads.get(),
    deadlines = statistics.deadlines.get(),
    probes = statistics.probes.get(),
    connections = connections.accepted.get(),
    connectionsRefused = connections.refused.get(),
    crashes = statistics.crashes.get(),
)
