package io.poplarwood.entry.operator

import io.poplarwood.api.id.RequestId

/** Keeps what it was asked and accepts version 3 only. */
internal class FakeBackend : OperatorBackend {
    val orders = mutableListOf<OperatorChangeRequest>()
    var ready = Readiness(false, listOf("peers"))
    var paused = false

    override suspend fun classes(): List<ServiceClasses> = orders.map {
        ServiceClasses(it.expectVersion + 1, it.document)
    }

    override suspend fun change(order: OperatorChangeRequest): ChangeOutcome {
        orders += order
        if (order.expectVersion == VERSION) return ChangeOutcome.Accepted(VERSION + 1, 9, order.wait)
        val winner = ServiceClasses(VERSION, order.document)
        return ChangeOutcome.Conflict(winner, listOf(ValueChange("$.defaultClass", "a", "b")))
    }

    override suspend fun history(limit: Int): List<HistoryRow>? = null

    override suspend fun status() = StatusReport("e1", "c", 9, paused, emptyList(), emptyList(), emptyList())

    override suspend fun explain(request: RequestId): ExplainReport? =
        if (request.value == "r1") ExplainReport("r1", "e1", "counter", "checks", "answered", emptyList()) else null

    override suspend fun automation(paused: Boolean, who: String): AutomationState {
        this.paused = paused
        return AutomationState(paused, 10)
    }

    override fun metrics() = "poplarwood_calls_total 1\n"

    override fun ready() = ready

    companion object {
        const val VERSION = 3L
    }
}
