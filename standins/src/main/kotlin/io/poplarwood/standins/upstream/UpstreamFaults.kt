package io.poplarwood.standins.upstream

import kotlinx.serialization.Serializable

/**
 * Faults of a stand-in upstream; the default value has none.
 *
 * @property draining sheds every request with `Poplarwood-Not-Run: draining`
 * @property failFast answers 500 at once
 * @property slowFactor factor on service times
 * @property reportLagMs age of what the health and load endpoints say, in milliseconds
 * @property healthLies the health endpoint always says that all is well
 * @property reportedLoad load that the load endpoint and the load header claim; null tells the truth
 * @property crashPath a request whose path contains this text crashes the upstream; null for none
 * @property downAfterCrashMs time for which a crashed upstream does not listen; negative for good
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
