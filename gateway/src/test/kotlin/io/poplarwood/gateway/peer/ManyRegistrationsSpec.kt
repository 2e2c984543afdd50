package io.poplarwood.gateway.peer

import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.math.pow
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Simulates registrations that many entries with narrow links lack at the same time. */
class ManyRegistrationsSpec {
    /** [body] returns when the time of the bound begins. */
    private fun simulate(
        name: String,
        count: Int,
        mbit: (String) -> Double,
        body: suspend (RegistrationInstallation) -> Unit,
    ) = runTest(timeout = 2.minutes) {
        val installation = RegistrationInstallation(this, count, SEED, mbit)
        body(installation)
        val (first, last) = installation.timeUntilKnown()
        val (busiest, all) = installation.sentBytes()
        val report = "MANY_REGISTRATIONS $name, $count: first $first, last $last, sent by the busiest / all: " +
            "$busiest / $all bytes"
        println(report)
        val wrong = installation.withWrongRegistrations()
        backgroundScope.coroutineContext.cancelChildren()
        assertTrue(last <= LargeInstallation.BOUND, report)
        assertEquals(emptyList(), wrong, report)
    }

    @Nested
    inner class `all registrations` {
        /** Guards against entries that all ask the first one that has read the store. */
        @ParameterizedTest
        @ValueSource(ints = [437, 3_000])
        fun `are known in time to entries that all start at once`(count: Int) =
            simulate("all start", count, ::installed) { it.startAtOnce() }

        @ParameterizedTest
        @ValueSource(ints = [437, 3_000])
        fun `are known in time to entries with links of any width that all start at once`(count: Int) =
            simulate("all start, drawn links", count, drawn()) { it.startAtOnce() }

        /** Guards against starting entries that all take the same narrow link. */
        @ParameterizedTest
        @ValueSource(ints = [437, 3_000])
        fun `are known in time to one in ten entries that start again`(count: Int) =
            simulate("one in ten start again", count, ::installed) {
                it.startCalmly()
                it.restart(it.oneInTen())
            }

        /** Guards against starting entries without the store that all ask the same peer. */
        @ParameterizedTest
        @ValueSource(ints = [437, 3_000])
        fun `are known in time to a zone that starts again while the store is away`(count: Int) =
            simulate("a zone starts again without the store", count, ::installed) {
                it.startCalmly()
                it.store.downFor += it.all()
                delay(2.seconds)
                it.restart(it.zone("c"))
            }

        /** Guards against starting entries without the store that all ask the same peer. */
        @ParameterizedTest
        @ValueSource(ints = [437, 3_000])
        fun `are known in time to one in ten that start again while the store is away`(count: Int) =
            simulate("one in ten start again without the store", count, ::installed) {
                it.startCalmly()
                it.store.downFor += it.all()
                delay(2.seconds)
                it.restart(it.oneInTen())
            }
    }

    @Nested
    inner class `registrations that changed during a cut` {
        /** Guards against changes that all entries request whole from one that follows the store with a narrow link. */
        @ParameterizedTest
        @ValueSource(ints = [437, 3_000])
        fun `from the store are known in time although its followers have narrow links`(count: Int) =
            simulate("store cut off", count, ::installed) {
                it.startCalmly()
                it.cut(it.all(), isolated = false, CHANGES)
            }

        /** Guards against an outage of the store after which every registration is written again. */
        @ParameterizedTest
        @ValueSource(ints = [437, 3_000])
        fun `and all of which are renewed after it are known in time`(count: Int) =
            simulate("all renewed", count, ::installed) {
                it.startCalmly()
                it.cut(it.all(), isolated = false, CHANGES)
                it.renewAll(2.seconds)
            }

        @ParameterizedTest
        @ValueSource(ints = [437, 3_000])
        fun `of one in ten entries are known to them in time`(count: Int) =
            simulate("one in ten cut off", count, drawn()) {
                it.startCalmly()
                it.cut(it.oneInTen(), isolated = true, CHANGES)
            }
    }

    private companion object {
        const val SEED = 7
        const val CHANGES = 200

        /** Mbit/s as on the installation: two wide links in each zone, none of them that of the first by name. */
        fun installed(name: String) = if (name.substringAfter('-') in setOf("9", "20")) 140.0 else 7.0

        fun drawn(): (String) -> Double {
            val random = Random(SEED)
            return { 7 * 20.0.pow(random.nextDouble()) }
        }
    }
}
