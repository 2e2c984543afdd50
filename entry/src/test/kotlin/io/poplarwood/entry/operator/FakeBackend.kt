package io.poplarwood.entry.operator

import io.poplarwood.api.id.RequestId

/** Records change requests and accepts only those that expect version 3. */
internal class FakeBackend : OperatorBackend {
    val requests = mutableListOf<OperatorChangeRequest>()
    var ready = Readiness(false, listOf("peers"))
    var paused = false

    override suspend fun classes(): List<ServiceClasses> = requests.map {
        ServiceClasses(it.expectedVersion + 1, it.document)
    }

    override suspend fun change(request: OperatorChangeRequest): ChangeOutcome {
        requests += request
        if (request.expectedVersion == VERSION) return ChangeOutcome.Accepted(VERSION + 1, 9, request.waitUntilInForce)
        val winner = ServiceClasses(VERSION, request.document)
        return ChangeOutcome.Conflict(winner, listOf(ValueChange("$.defaultClass", "a", "b")))
    }

    override suspend fun history(limit: Int): List<HistoryRow>? = null

    override suspend fun status() = StatusReport("e1", "c", 9, paused, emptyList(), emptyList(), emptyList())

    override suspend fun explain(request: RequestId): ExplainReport? =
        if (request.value == "r1") ExplainReport("r1", "e1", "counter", "checks", "answered", emptyList()) else null

    override suspend fun setAutomationPaused(paused: Boolean, operatorName: String): AutomationState {
        this.paused = paused
        return AutomationState(paused, 10)
    }

    override fun metrics() = "poplarwood_calls_total 1\n"

    override fun readiness() = ready

    companion object {
        const val VERSION = 3L
    }
}
