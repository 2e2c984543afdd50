package io.poplarwood.gateway.decision

import io.poplarwood.gateway.route.Route
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.toDuration

/** Learns how long each route's requests take at an upstream of usual speed. */
internal class WorkTimes {
    private val rows = HashMap<String, Row>()

    /** Mean time of [route]; a share of its target until answers came. */
    fun usual(route: Route): Duration = rows[route.prefix]?.let { ms(it.mean) } ?: (route.target * FIRST_GUESS)

    /** Time that few of [route]'s requests exceed at an upstream of usual speed. */
    fun long(route: Route): Duration =
        rows[route.prefix]?.let { ms(it.mean + it.deviation * LONG_DEVIATIONS) } ?: (route.target * FIRST_LONG)

    /** Notes an answer after [took] from an upstream that was [slowness] times slower than usual. */
    fun note(route: Route, took: Duration, slowness: Double) {
        val value = took.toDouble(DurationUnit.MILLISECONDS) / slowness.coerceAtLeast(1.0)
        val row = rows.getOrPut(route.prefix) { Row(value, value * FIRST_DEVIATION) }
        row.deviation += (abs(value - row.mean) - row.deviation) * LEARNING
        row.mean += (value - row.mean) * LEARNING
        if (rows.size > MAX_ROUTES) rows.remove(rows.keys.first())
    }

    private class Row(var mean: Double, var deviation: Double)

    private fun ms(value: Double) = value.toDuration(DurationUnit.MILLISECONDS)

    private companion object {
        const val LEARNING = 0.03
        const val FIRST_GUESS = 0.3
        const val FIRST_LONG = 0.5
        const val FIRST_DEVIATION = 0.3

        /** Mean absolute deviations above the mean. */
        const val LONG_DEVIATIONS = 2.5
        const val MAX_ROUTES = 5_000
    }
}
