package io.poplarwood.gateway.load

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Responses to callers while all upstreams are replaced one after the other and only their answers say so. */
class ReleaseByMarksSpec {
    /** Guards against requests to draining or ended upstreams, and against doing without them for too long. */
    @Test
    fun `no request is late, and goodput is that of a release announced by registrations`() {
        for (load in listOf(0.5, 0.7, 0.9)) {
            for (seed in 1L..3L) {
                val results = LeavingNotice.entries.associateWith { RollingRelease(load, seed, it).simulate() }
                val figures = results.entries.joinToString {
                    "${it.key} in time ${it.value.inTime}, goodput ${it.value.goodput}, " +
                        "${it.value.lateRequests} late requests, ${it.value.lost} lost attempts"
                }
                println("load $load seed $seed: $figures")
                val marks = results.getValue(LeavingNotice.MARKS)
                assertEquals(0, marks.lateRequests, "load $load seed $seed: $figures")
                assertEquals(0, marks.lost, "load $load seed $seed: $figures")
                val registrations = results.getValue(LeavingNotice.REGISTRATIONS)
                assertTrue(marks.goodput >= registrations.goodput - 0.02, "load $load seed $seed: $figures")
                val ignored = results.getValue(LeavingNotice.NONE)
                assertTrue(ignored.lateRequests > 0, "load $load seed $seed: the model shows no late request: $figures")
            }
        }
    }
}
