package io.poplarwood.gateway.route

import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.support.route
import kotlin.test.Test
import kotlin.test.assertTrue

class SplitPickerSpec {
    /** Guards against a service that receives more or fewer requests than its weight over a short span. */
    @Test
    fun `keeps each service within one request of its weight in every hundred requests`() {
        val random = SplitMix(1)
        val weightedRoute = route("/a/", "s1" to 90, "s2" to 10)
        repeat(20) {
            val picker = SplitPicker(random::nextDouble)
            val secondCount = (1..100).count { picker.next(weightedRoute).value == "s2" }
            assertTrue(secondCount in 9..11, "got $secondCount")
        }
    }

    /** Guards against rounds that begin anew whenever a registration changes, so that shares become random. */
    @Test
    fun `keeps each service within one request of its weight while the version stays`() {
        val random = SplitMix(3)
        val weightedRoute = route("/a/", "s1" to 90, "s2" to 10)
        repeat(20) {
            val picker = SplitPicker(random::nextDouble)
            val secondCount = (1..100).count {
                picker.useVersion(7)
                picker.next(weightedRoute).value == "s2"
            }
            assertTrue(secondCount in 9..11, "got $secondCount")
        }
    }

    /** Guards against a sum of weights that exceeds the integers, so that one service receives everything. */
    @Test
    fun `keeps the shares of the largest weights`() {
        val weightedRoute = route("/a/", "s1" to Int.MAX_VALUE, "s2" to Int.MAX_VALUE)
        val picker = SplitPicker { 0.0 }
        assertTrue((1..100).count { picker.next(weightedRoute).value == "s2" } in 49..51)
    }

    /** Guards against many entries that all send their first requests to the same service. */
    @Test
    fun `starts each entry at a random point`() {
        val random = SplitMix(2)
        val weightedRoute = route("/a/", "s1" to 50, "s2" to 50)
        val firstCount = (1..200).count { SplitPicker(random::nextDouble).next(weightedRoute).value == "s1" }
        assertTrue(firstCount in 1..199, "got $firstCount")
    }
}
