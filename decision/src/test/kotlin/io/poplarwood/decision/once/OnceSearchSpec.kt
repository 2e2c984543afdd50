package io.poplarwood.decision.once

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class OnceSearchSpec {
    @Nested
    inner class `every order of sends and two faults` {
        /** Guards against an issued key that runs twice, or a `not-run` for a request that ran. */
        @Test
        fun `runs an issued key at most once`() = search(foreign = false)

        /** Guards against two entries that both believe that they hold the claim of a caller's own key. */
        @Test
        fun `runs a caller's own key at most once`() = search(foreign = true)
    }

    /** Visits each state that [DEPTH] steps can reach, by running the shipped code again along each path. */
    private fun search(foreign: Boolean) {
        val seen = HashSet<String>()
        var frontier = listOf(IntArray(0) to replay(foreign, IntArray(0)).choices().size)
        repeat(DEPTH) {
            val next = ArrayList<Pair<IntArray, Int>>()
            for ((path, count) in frontier) {
                for (choice in 0 until count) {
                    val longer = path + choice
                    val world = replay(foreign, longer)
                    assertNull(world.violation)
                    if (seen.add(world.state())) next += longer to world.choices().size
                }
            }
            frontier = next
        }
        assertTrue(seen.size > LEAST_STATES, "the search visited only ${seen.size} states")
        println("once search: foreign=$foreign depth=$DEPTH states=${seen.size}")
    }

    private fun replay(foreign: Boolean, path: IntArray): OnceWorld {
        val world = OnceWorld(foreign, maxSends = 3, maxFaults = 2)
        for (choice in path) world.take(choice)
        return world
    }

    private companion object {
        /** Deeper searches are run by hand with this property; 7 keeps the build short. */
        val DEPTH = Integer.getInteger("once.depth", 7)
        const val LEAST_STATES = 1_000
    }
}
