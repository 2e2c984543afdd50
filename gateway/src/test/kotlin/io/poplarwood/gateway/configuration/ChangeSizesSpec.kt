package io.poplarwood.gateway.configuration

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.route.CallerLimits
import io.poplarwood.gateway.route.DesiredState
import io.poplarwood.gateway.route.RequestKind
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.route.RouteTable
import io.poplarwood.gateway.route.ServiceShare
import io.poplarwood.gateway.route.ServiceSpec
import io.poplarwood.gateway.support.storeVersion
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableMap
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sizes of what entries send each other about configurations with random names, which compress as badly as real
 * ones.
 */
class ChangeSizesSpec {
    private val random = SplitMix(11)

    private fun name(length: Int) = (1..length).map { LETTERS[(random.nextDouble() * LETTERS.length).toInt()] }
        .joinToString("")

    private fun routes(count: Int): List<Route> {
        val hosts = List(1 + count / ROUTES_PER_HOST) { name(6) + ".example" }
        return List(count) { i ->
            Route(
                hosts[i % hosts.size],
                name(8),
                "/${name(8)}/",
                RequestKind.entries[i % RequestKind.entries.size],
                4.seconds,
                (500 + i % 5 * 250).milliseconds,
                i % 3,
                2,
                persistentListOf(ServiceShare(ServiceName("service-${i % SERVICES}"), 1)),
            )
        }
    }

    private val services = List(SERVICES) { ServiceSpec(ServiceName("service-$it"), "/${name(8)}/health", 200) }
        .associateBy { it.name }.toImmutableMap()

    private fun configuration(version: Long, routes: List<Route>) =
        Configuration(DesiredState(version, services, RouteTable.of(routes), CallerLimits()), storeVersion(version))

    private fun size(earlier: List<Route>?, later: List<Route>): Int {
        val change = ConfigurationChange.between(earlier?.let { configuration(1, it) }, configuration(2, later))
        return ChangePieces.split(change).sumOf { it.size }
    }

    @Nested
    inner class `ten routes changed in ten thousand` {
        /** Guards against a change that costs as much as the whole configuration. */
        @Test
        fun `cost less than these routes as text`() {
            val before = routes(10_000)
            val bytes = size(before, before.drop(5) + routes(10))
            println("10 of 10,000 routes changed: $bytes bytes")
            assertTrue(bytes < CHANGED_ROUTES * TEXT_BYTES_PER_ROUTE, "$bytes bytes")
        }
    }

    @Nested
    inner class `a large change` {
        /** Guards against changes that do not pass through the smallest links in time. */
        @Test
        fun `takes a tenth of a second of a link of 7 Mbit per second`() {
            val before = routes(4_000)
            val bytes = size(before, before + routes(1_900))
            println("1,900 routes added to 4,000: $bytes bytes")
            println(
                "whole: 1,900 routes ${size(null, routes(1_900))}, 10,000 routes ${size(null, routes(10_000))} bytes",
            )
            assertTrue(bytes < SMALL_LINK_BYTES_PER_S / 10, "$bytes bytes")
        }
    }

    private companion object {
        const val LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789"
        const val ROUTES_PER_HOST = 50
        const val SERVICES = 620
        const val CHANGED_ROUTES = 15
        const val TEXT_BYTES_PER_ROUTE = 200
        const val SMALL_LINK_BYTES_PER_S = 7_000_000 / 8
    }
}
