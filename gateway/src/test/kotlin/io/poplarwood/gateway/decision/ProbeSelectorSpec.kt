package io.poplarwood.gateway.decision

import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ProbeSelectorSpec {
    private var maxPerSecond = 60.0
    private val choice = ProbeSelector { maxPerSecond }
    private val now = 100.seconds
    private val busy = UpstreamRow(upstream("busy"), now).also { it.ownInFlight = 1 }

    private fun row(id: String = "u", draining: Boolean = false, reportedMs: Int = 1_000, probedMs: Int = 1_000) =
        UpstreamRow(upstream(id, draining = draining), now).also {
            it.recordSlowness(1.0, now - reportedMs.milliseconds)
            it.probedAt = now - probedMs.milliseconds
        }

    private fun due(row: UpstreamRow) =
        choice.selectDue(listOf(row, busy.also { it.recordSlowness(1.0, now) }), now) == listOf(row)

    /** Guards against probes that use an upstream's slots although its answers already report enough. */
    @Test
    fun `probes only upstreams without a recent report or probe`() {
        assertEquals(true, due(row()))
        assertEquals(false, due(row(reportedMs = 10)))
        assertEquals(false, due(row(probedMs = 10)))
    }

    /** Guards against more probes than requests for a service with many upstreams. */
    @Test
    fun `probes no more upstreams than the next requests need`() {
        val rows = List(30) { row("u$it") }
        rows.take(4).forEach { it.ownInFlight = 1 }
        val due = choice.selectDue(rows, now)
        assertEquals(14, due.size)
        due.forEach { it.recordSlowness(1.0, now) }
        assertEquals(emptyList(), choice.selectDue(rows, now))
    }

    /** Guards against having no load information in a zone whose service receives its requests in another zone. */
    @Test
    fun `probes upstreams of a zone without requests while the service has some`() {
        assertEquals(
            listOf(row("u1").id),
            choice.selectDue(listOf(row("u1"), busy), now) {
                it.id == "u1"
            }.map { it.id },
        )
    }

    /** Guards against placement on a slow upstream because all probed upstreams are slow. */
    @Test
    fun `probes further upstreams while those already probed are slow`() {
        val rows = List(30) { row("u$it") }
        rows.first().ownInFlight = 1
        choice.selectDue(rows, now).forEach { it.recordSlowness(4.0, now) }
        assertEquals(11, choice.selectDue(rows, now).size)
    }

    /** Guards against probes whose results no request needs. */
    @Test
    fun `probes nothing while the service has no requests`() {
        assertEquals(emptyList(), choice.selectDue(listOf(row()), now))
    }

    @Test
    fun `does not probe a draining upstream`() = assertEquals(false, due(row(draining = true)))

    /** Guards against probes that take a noticeable share of the slots when an answer to them takes long. */
    @Test
    fun `probes less often when an answer takes long`() {
        val slow = row(reportedMs = 200, probedMs = 200).also { it.probeDuration = 20.milliseconds }
        assertEquals(false, due(slow))
    }

    /** Guards against more probes than the configured limit. */
    @Test
    fun `keeps to the configured limit`() {
        maxPerSecond = 2.0
        assertEquals(false, due(row(reportedMs = 400, probedMs = 400)))
        assertEquals(true, due(row(reportedMs = 600, probedMs = 600)))
    }

    @Test
    fun `rarely probes an upstream that answers without reporting`() {
        val unreporting = UpstreamRow(upstream("u"), now).also { it.lastAnswerAt = now - 2.seconds }
        assertEquals(true, due(unreporting))
        unreporting.probedAt = now - 2.seconds
        assertEquals(false, due(unreporting))
    }
}
