package io.poplarwood.fleet

/**
 * Counters of one node.
 *
 * @property writeConflicts transactions that lost against another entry's
 * @property refusedSnapshots snapshot pages that were damaged, too old or behind
 * @property doubtfulLists VM lists whose missing upstreams were ignored, as more than half were missing
 */
data class FleetCounters(val writeConflicts: Int, val refusedSnapshots: Int, val ignoredVmLists: Int)
