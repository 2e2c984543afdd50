package io.poplarwood.fleet

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.fleet.config.ChangeRequest
import io.poplarwood.fleet.config.ChangeResult
import io.poplarwood.fleet.config.History
import io.poplarwood.fleet.store.StorePorts
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FleetRunnerSpec {
    private val store = MemoryStore()

    private fun TestScope.runner(name: String): FleetRunner {
        val ref = EntryRef(EntryId(name), Incarnation(1, 1))
        val node = FleetNode(
            FleetSettings(ref, "$name:1", "$name:2", Zone("z")),
            { testScheduler.currentTime.milliseconds },
            Clock.System,
            SplitMix(3),
        )
        return FleetRunner(node, StorePorts(store, store, { Ok(emptyList()) }), {}, {})
    }

    /** A document that is too large for a row. */
    private fun large() = document().let { d ->
        d.copy(classes = d.classes + List(60) { d.classes[0].copy(name = ClassName("class-$it")) })
    }

    @Nested
    inner class `one entry with a store` {
        @Test
        fun `makes a change, reports it in force and records both in the history`() = runTest {
            // Guards against a driver that loses outputs, and a history without the operator or the time in force.
            val runner = runner("a")
            val first = launch { runner.run() }
            delay(10.seconds)
            val result = runner.change(ChangeRequest("c1", "ana", large(), 0))
            assertIs<ChangeResult.Accepted>(result)
            assertNotNull(runner.awaitInForce("c1"))
            delay(10.seconds)
            val entry = assertNotNull(History(store).of(ServiceName("counter")).get()).single()
            assertEquals("ana" to 1L, entry.change.who to entry.change.version)
            assertEquals(result.sequence, entry.inForce?.sequence)
            first.cancel()
        }

        @Test
        fun `provides a large document to an entry that starts later`() = runTest {
            // Guards against a row that refers to an object that other entries cannot read.
            val runner = runner("a")
            val first = launch { runner.run() }
            delay(10.seconds)
            runner.change(ChangeRequest("c1", "ana", large(), 0))
            first.cancel()
            val later = runner("b")
            val second = launch { later.run() }
            delay(5.seconds)
            assertEquals(large(), later.read { documents.single().document })
            second.cancel()
        }
    }
}
