package io.poplarwood.bench.routing

import io.poplarwood.bench.virtual.WhenFull
import kotlin.time.Duration.Companion.ZERO

/** The loads of the routing bench. */
internal object Scenarios {
    private const val STEADY = 0.6
    private const val HIGH = 0.8
    private const val ONE_IN_FIVE = 0.2

    /** Fleet shapes of the two users' main services: slots and upstreams. */
    private val shapes = listOf(3 to 20, 6 to 17)

    /** All scenarios. */
    val all: List<Scenario> = shapes.flatMap { (slots, upstreams) ->
        val steady = Scenario("steady", STEADY, slots, upstreams)
        val slowed = Scenario("one in five slowed threefold", HIGH, slots, upstreams, slowed = ONE_IN_FIVE)
        listOf(
            steady,
            slowed,
            slowed.copy(name = "one in five slowed threefold, sheds cost nothing", shedCost = ZERO),
            steady.copy(name = "bursts", bursts = true),
            steady.copy(name = "one fails fast", failing = 1),
            slowed.copy(name = "one in five slowed threefold, upstreams queue", whenFull = WhenFull.QUEUE),
            steady.copy(name = "steady, upstreams queue", whenFull = WhenFull.QUEUE),
        )
    }
}
