package io.poplarwood.gateway.configuration

import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.route.ServiceSpec
import io.poplarwood.gateway.support.configuration
import io.poplarwood.gateway.support.storeVersion
import kotlinx.collections.immutable.toImmutableMap
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ConfigurationChangeSpec {
    private val before = configuration(1, routes = 900)
    private val after = configuration(2, routes = 1_300)

    private fun transferred(change: ConfigurationChange) =
        assertNotNull(ChangePieces.join(ChangePieces.split(change), change.from, change.to, change.digest))

    @Nested
    inner class `a change between two versions` {
        private val change = ConfigurationChange.between(before, after)

        @Test
        fun `leads from one to the other after its transfer`() {
            val result = assertNotNull(transferred(change).applyTo(before.state))
            assertEquals(after.state.routes.digest, result.state.routes.digest)
            assertEquals(2, result.state.version)
            assertEquals(after.state.services, result.state.services)
            assertEquals(after.state.limits, result.state.limits)
        }

        /** Guards against routes that nobody wrote, because a change was applied to another version than its own. */
        @Test
        fun `is rejected when it is applied to another version`() =
            assertNull(transferred(change).applyTo(configuration(1, routes = 899).state))

        @Test
        fun `that removes routes leads back`() {
            val back = ConfigurationChange.between(after, before)
            assertEquals(400, back.removed.size)
            assertEquals(before.state.routes.digest, transferred(back).applyTo(after.state)?.state?.routes?.digest)
        }
    }

    @Nested
    inner class `services` {
        private fun withServices(version: Long, specs: List<ServiceSpec>) = configuration(version, routes = 10).let {
            Configuration(
                it.state.copy(services = specs.associateBy(ServiceSpec::name).toImmutableMap()),
                storeVersion(version),
            )
        }

        private val spec = ServiceSpec(ServiceName("kept"), "/health", 200)
        private val before = withServices(1, listOf(spec, spec.copy(name = ServiceName("gone"))))

        /** Guards against changes of routes that cost as much as there are services. */
        @Test
        fun `that stay the same are not sent`() {
            val change = ConfigurationChange.between(before, withServices(2, listOf(spec)))
            assertEquals(emptyList(), transferred(change).addedServices)
        }

        @Test
        fun `are added, replaced and removed`() {
            val after = withServices(2, listOf(spec.copy(maxConnections = 1), spec.copy(name = ServiceName("new"))))
            val change = ConfigurationChange.between(before, after)
            assertEquals(after.state.services, transferred(change).applyTo(before.state)?.state?.services)
        }

        /** Guards against a message that grows with the number of services. */
        @Test
        fun `are divided among pieces`() {
            val many = List(SERVICES) { spec.copy(name = ServiceName("service-$it")) }
            val change = ConfigurationChange.between(null, withServices(1, many))
            assertEquals(SERVICES / ChangePieces.ROUTES_PER_PIECE, ChangePieces.split(change).size)
            assertEquals(SERVICES, transferred(change).applyTo(null)?.state?.services?.size)
        }
    }

    @Nested
    inner class `a whole desired state` {
        @Test
        fun `needs no earlier one`() {
            val result = transferred(ConfigurationChange.between(null, after)).applyTo(null)
            assertEquals(1_300, result?.state?.routes?.size)
        }
    }

    @Nested
    inner class `pieces` {
        /** Guards against a message that grows with the installation. */
        @Test
        fun `have a bounded size, however many routes there are`() {
            val pieces = ChangePieces.split(ConfigurationChange.between(null, configuration(1, routes = 10_000)))
            assertEquals(10_000 / ChangePieces.ROUTES_PER_PIECE, pieces.size)
            assertTrue(pieces.all { it.size < MAX_PIECE_BYTES }, pieces.maxOf { it.size }.toString())
        }

        @Test
        fun `that are damaged are rejected`() {
            val change = ConfigurationChange.between(before, after)
            val pieces = ChangePieces.split(change)
            val cut = pieces.first().copyOf(pieces.first().size / 2)
            assertNull(ChangePieces.join(listOf(cut), change.from, change.to, change.digest))
        }

        /** Guards against half of a change that comes into force. */
        @Test
        fun `that are missing make no desired state`() {
            val change = ConfigurationChange.between(null, after)
            val first = ChangePieces.split(change).take(1)
            val joined = assertNotNull(ChangePieces.join(first, change.from, change.to, change.digest))
            assertNull(joined.applyTo(null))
        }
    }

    private companion object {
        /** Takes a link of 7 Mbit/s less than 40 ms. */
        const val MAX_PIECE_BYTES = 32 * 1024
        const val SERVICES = 4_000
    }
}
