package io.poplarwood.decision.once

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class OnceSearchSpec {
    @Nested
    inner class `every order of sends and two faults` {
        /** Guards against an issued key that runs twice, and against a `not-run` for a request that ran. */
        @Test
        fun `runs an issued key at most once`() = search(callerKey = false)

        /**
         * Guards against two entries that both believe that they hold the claim of a key that the caller made itself.
         */
        @Test
        fun `runs a caller's own key at most once`() = search(callerKey = true)
    }

    /** Visits each state that [DEPTH] steps can reach, by replaying the production code along each path. */
    private fun search(callerKey: Boolean) {
        val seen = HashSet<String>()
        var frontier = listOf(IntArray(0) to replay(callerKey, IntArray(0)).choices().size)
        repeat(DEPTH) {
            val next = ArrayList<Pair<IntArray, Int>>()
            for ((path, count) in frontier) {
                for (choice in 0 until count) {
                    val extendedPath = path + choice
                    val model = replay(callerKey, extendedPath)
                    assertNull(model.violation)
                    if (seen.add(model.state())) next += extendedPath to model.choices().size
                }
            }
            frontier = next
        }
        assertTrue(seen.size > MIN_STATES, "the search visited only ${seen.size} states")
        println("once search: foreign=$callerKey depth=$DEPTH states=${seen.size}")
    }

    private fun replay(callerKey: Boolean, path: IntArray): IdempotencyModel {
        val model = IdempotencyModel(callerKey, maxSends = 3, maxFaults = 2)
        for (choice in path) model.choose(choice)
        return model
    }

    private companion object {
        /** The default of 7 keeps the build short; set this property for deeper searches. */
        val DEPTH = Integer.getInteger("once.depth", 7)
        const val MIN_STATES = 1_000
    }
}
