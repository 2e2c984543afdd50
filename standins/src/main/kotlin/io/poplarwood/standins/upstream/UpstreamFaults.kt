package io.poplarwood.standins.upstream

import kotlinx.serialization.Serializable

/**
 * Faults injected into a stand-in upstream; none by default.
 *
 * @property draining whether every request is refused with `Poplarwood-Not-Run: draining`
 * @property failFast whether every request is answered with status 500 at once
 * @property slowFactor factor on service times
 * @property reportLagMs age of the state that the health and load endpoints report, in milliseconds
 * @property healthLies whether the health endpoint always reports the upstream as healthy
 * @property reportedLoad load reported by the load endpoint and the load header; null reports the actual load
 * @property crashPath text in the path or query of a request that crashes the upstream; null for none
 * @property downAfterCrashMs downtime of a crashed upstream, in milliseconds; negative when the upstream stays down
 */
@Serializable
data class UpstreamFaults(
    val draining: Boolean = false,
    val failFast: Boolean = false,
    val slowFactor: Double = 1.0,
    val reportLagMs: Long = 0,
    val healthLies: Boolean = false,
    val reportedLoad: Int? = null,
    val crashPath: String? = null,
    val downAfterCrashMs: Long = 1_000,
)
