package io.poplarwood.fleet.config

/** One change of the document of a service, with the time at which it was in force everywhere; null if unknown. */
data class HistoryEntry(val change: ConfigChange, val sequence: Long, val inForce: InForceTime?)
