package io.poplarwood.fleet

/**
 * Counters of one [FleetNode] since its start.
 *
 * @property writeConflicts transactions that failed because another entry had written the same sequence
 * @property refusedSnapshots snapshot pages refused as damaged, too old or behind the known head
 * @property ignoredVmLists VM lists whose missing upstreams were ignored because more than half were missing
 */
data class FleetCounters(val writeConflicts: Int, val refusedSnapshots: Int, val ignoredVmLists: Int)
