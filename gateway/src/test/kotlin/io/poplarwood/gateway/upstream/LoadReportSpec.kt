package io.poplarwood.gateway.upstream

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class LoadReportSpec {
    @Test
    fun `reads the load and the slowness`() = assertEquals(LoadReport(3, 1, 8, 4.0), LoadReport.parse("3, 1,8,400"))

    @Test
    fun `reads a report without slowness`() = assertEquals(LoadReport(3, 0, 8, null), LoadReport.parse("3,0,8"))

    /** Guards against failing a request because of a malformed report. */
    @Test
    fun `returns null for a malformed report`() {
        for (text in listOf(null, "", "3", "a,b,c", "3,0,-1", "3,,8", "99999999999,0,1")) {
            assertNull(LoadReport.parse(text), "for $text")
        }
    }
}
