package io.poplarwood.entry.node

import io.poplarwood.entry.log.EventLog
import io.poplarwood.entry.log.LogEvent
import io.poplarwood.fleet.FleetEvent

/** Logs the fleet events that operators follow. */
internal fun EventLog.logFleetEvent(event: FleetEvent) {
    when (event) {
        is FleetEvent.InForce -> with(event.document) {
            log(LogEvent.DOCUMENT_IN_FORCE, document.service, version, sequence)
        }
        is FleetEvent.InForceEverywhere ->
            log(LogEvent.CHANGE_EVERYWHERE, event.sequence, event.after.inWholeMilliseconds)
        is FleetEvent.Freshness -> log(if (event.fresh) LogEvent.FRESH else LogEvent.NOT_FRESH)
        is FleetEvent.Renamed -> log(LogEvent.RENAMED, event.self)
        is FleetEvent.Paused -> log(LogEvent.PAUSED, event.gap.inWholeMilliseconds)
        else -> Unit
    }
}
