package io.poplarwood.bench.routing

import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.virtual.WhenFull

/** The targets of the design page, section "Routing", and of its limits on control traffic. */
internal object RoutingChecks {
    private const val SLOWED_TO_FLOOR = 1.0
    private const val SLOWED_TO_TWO_CHOICES = 0.35
    private const val SLOWED_EXTRA = 0.5
    private const val STEADY_TO_FLOOR = 1.05
    private const val STEADY_EXTRA = 0.2

    /** Bytes a second for all control of a node. */
    private const val CONTROL_BYTES = 13_000.0

    /** The checks of [scenario]; none of latency for loads that the design states no target for. */
    fun of(scenario: Scenario, floor: RoutingFigures, figures: Map<String, RoutingFigures>): List<BenchCheck> {
        val shipped = figures.getValue(Policies.SHIPPED)
        val two = figures.getValue(Policies.TWO_CHOICES)
        val at = "${scenario.name}, ${scenario.upstreams}x${scenario.slots}"
        val bytes = BenchCheck("$at: slot messages B/s per entry", shipped.bytesPerSecond, CONTROL_BYTES)
        if (scenario.whenFull == WhenFull.QUEUE || scenario.bursts || scenario.failing > 0) return listOf(bytes)
        val toFloor = shipped.p99 / floor.p99
        if (scenario.slowedCount == 0) {
            return listOf(
                BenchCheck("$at: urgent p99 to omniscient queue", toFloor, STEADY_TO_FLOOR),
                BenchCheck("$at: extra attempts", shipped.extraAttempts, STEADY_EXTRA),
                bytes,
            )
        }
        return listOf(
            BenchCheck("$at: urgent p99 to omniscient queue", toFloor, SLOWED_TO_FLOOR),
            BenchCheck("$at: urgent p99 to two choices", shipped.p99 / two.p99, SLOWED_TO_TWO_CHOICES),
            BenchCheck("$at: extra attempts", shipped.extraAttempts, SLOWED_EXTRA),
            bytes,
        )
    }
}
