package io.poplarwood.bench.demo

/** An entry that runs in this process. */
interface RunningEntry {
    /** `ip:port` for callers. */
    val callersAddress: String

    /** `ip:port` for operators. */
    val operatorsAddress: String

    /** `ip:port` for other entries. */
    val peersAddress: String

    /** Stops gracefully. */
    suspend fun stop()
}
