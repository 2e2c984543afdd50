package io.poplarwood.fleet.config

/** One change of a service's document: who changed it, when, and when it was in force everywhere, if that is known. */
data class HistoryEntry(val change: ConfigChange, val sequence: Long, val inForce: InForceTime?)
