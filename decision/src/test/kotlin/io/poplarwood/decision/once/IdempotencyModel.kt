package io.poplarwood.decision.once

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.outcome.OutcomeKind
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.platform.Row
import io.poplarwood.api.platform.RowWrite
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.platform.TableStore
import io.poplarwood.api.random.SplitMix
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

/**
 * Model of two entries that run the production code with one key. Every step of their environment is a choice of the
 * caller.
 */
internal class IdempotencyModel(private val callerKey: Boolean, private val maxSends: Int, private val maxFaults: Int) {
    private class Step(val name: String, val at: Entry?, val fault: Boolean, val group: Any?, val action: () -> Unit)

    private inner class Entry(val ref: EntryRef) : TableStore {
        val job = Job()
        val scope = CoroutineScope(Dispatchers.Unconfined + job)
        val history = ArrayList<String>()
        var paused = false
        var suspicious = false
        private val table = KeyTable()
        private val coordinator =
            IdempotencyCoordinator(ref, table, this, { suspicious || it in stopped }, { nowMs }, SplitMix(1))

        fun handle(request: KeyedRequest, label: String, answer: (KeyOutcome) -> Unit) {
            scope.launch {
                val ports = Ports(this@Entry, label)
                val outcome = coordinator.handle(request, ports)
                if (!ports.forwarded) checkNotRun(outcome, label)
                answer(outcome)
            }
        }

        fun sweep() = table.sweep(nowMs)

        override suspend fun read(key: String): Result<Row?, StoreFailure> {
            val answer = CompletableDeferred<Result<Row?, StoreFailure>>()
            offer("read ok $ref", this, answer) { answer.complete(Ok(row)) }
            offer("read fails $ref", this, answer, fault = true) { answer.complete(Err(StoreFailure.Unavailable)) }
            return answer.await()
        }

        override suspend fun scan(prefix: String, after: String, limit: Int) = error("not used")

        override suspend fun transact(writes: List<RowWrite>): Result<Unit, StoreFailure> {
            val answer = CompletableDeferred<Result<Unit, StoreFailure>>()
            val value = checkNotNull(writes.single().value)
            val lost = Err(StoreFailure.AnswerLost)
            offer("write $ref", this, answer) { answer.complete(apply(value)) }
            offer("write lost $ref", this, answer, fault = true) { apply(value).also { answer.complete(lost) } }
            offer("write late $ref", this, answer, fault = true) {
                answer.complete(lost)
                offer("late write lands $ref", null) { apply(value) }
            }
            offer("write refused $ref", this, answer, fault = true) { answer.complete(Err(StoreFailure.Unavailable)) }
            return answer.await()
        }

        private fun apply(value: ByteArray): Result<Unit, StoreFailure> {
            val storedRow = row
            if (storedRow != null) return Err(StoreFailure.Conflict(storedRow.key, storedRow.version))
            row = Row("claim", 1, value)
            return Ok(Unit)
        }
    }

    private inner class Ports(private val at: Entry, private val label: String) : KeyedRequestActions {
        var forwarded = false

        override suspend fun run(): KeyOutcome {
            verify(running == null && ran.isEmpty()) { "ran twice" }
            running = label
            val answer = CompletableDeferred<KeyOutcome>()
            val tooLarge = KeyOutcome.Answered(null)
            attempt("answered", KeyOutcome.Answered(StoredResponse(200, emptyList(), ByteArray(1))), answer)
            attempt("large answer", tooLarge, answer)
            attempt("busy", KeyOutcome.Refused(RefusalReason.UPSTREAM_BUSY), answer)
            attempt("upstream crashed", KeyOutcome.Refused(RefusalReason.CONNECTION_LOST), answer)
            return answer.await()
        }

        private fun attempt(name: String, outcome: KeyOutcome, answer: CompletableDeferred<KeyOutcome>) {
            offer("$name ${at.ref} $label", at, answer) {
                at.history += name
                running = null
                if (name != "busy") ran += label
                answer.complete(outcome)
            }
        }

        override suspend fun forward(owner: EntryRef, request: KeyedRequest): KeyOutcome {
            forwarded = true
            val answer = CompletableDeferred<KeyOutcome>()
            val unreachable = KeyOutcome.Refused(RefusalReason.KEY_OWNER_UNREACHABLE)
            val target = entries.firstOrNull { it.ref == owner }
            offer("forward times out ${at.ref} $label", at, answer, fault = true) { answer.complete(unreachable) }
            offer("forward $label to $owner", target) {
                target?.handle(request, label) { offer("answer $label to ${at.ref}", at) { answer.complete(it) } }
            }
            return answer.await()
        }
    }

    /** The first violated rule and the steps that led to it; null while there is none. */
    var violation: String? = null
        private set

    private val steps = ArrayList<Step>()
    private val entries = ArrayList<Entry>()
    private val stopped = HashSet<EntryRef>()
    private val ran = ArrayList<String>()
    private val results = sortedMapOf<String, String>()
    private val trace = ArrayList<String>()
    private var running: String? = null
    private var row: Row? = null
    private var nowMs = START_MS
    private var sendCount = 0
    private var faults = 0
    private var restarts = 0

    private val request: KeyedRequest

    init {
        addEntry("a", 1)
        addEntry("b", 1)
        val key = if (callerKey) "order-1" else IssuedKey.prefix(entries[0].ref, nowMs) + "order-1"
        request = KeyedRequest(key, "counter", 1)
    }

    /** Names of the steps that are possible now. */
    fun choices(): List<String> = environmentSteps().map { it.name } + open().map { it.name }

    fun choose(index: Int) {
        val step = (environmentSteps() + open())[index]
        trace += step.name
        if (step.fault) faults++
        steps.removeAll { it === step || (step.group != null && it.group === step.group) }
        step.action()
    }

    /** Equal for states that no later step can distinguish. */
    fun state(): String {
        val nodes = entries.map { "${it.ref}${it.paused}${it.suspicious}${it.history}" }
        val storedText = row?.value?.decodeToString()
        return "$nodes$stopped${steps.map { it.name }.sorted()}$results$running$ran$storedText$nowMs$sendCount$faults"
    }

    private fun open() = steps.filter { step -> usable(step.at) && (!step.fault || faults < maxFaults) }

    private fun usable(at: Entry?) = at == null || (at in entries && !at.paused)

    private fun environmentSteps(): List<Step> = buildList {
        for (entry in entries) {
            if (entry.paused) {
                add(Step("resume ${entry.ref}", null, false, null) { entry.paused = false })
                continue
            }
            if (sendCount < maxSends) add(Step("send to ${entry.ref}", null, false, null) { send(entry) })
            if (faults >= maxFaults) continue
            add(Step("kill ${entry.ref}", null, true, null) { kill(entry) })
            add(Step("pause ${entry.ref}", null, true, null) { entry.paused = true })
            if (!entry.suspicious) add(Step("${entry.ref} suspects peer", null, true, null) { entry.suspicious = true })
        }
        if (nowMs == START_MS && sendCount > 0) add(Step("eleven minutes pass", null, false, null) { advanceTime() })
    }

    private fun send(to: Entry) {
        val label = "send${++sendCount}"
        results[label] = "open"
        to.handle(request, label) { answer ->
            results[label] = (answer as? KeyOutcome.Refused)?.reason?.wire ?: "answered"
            val notRun = (answer as? KeyOutcome.Refused)?.reason?.kind == OutcomeKind.NOT_RUN
            verify(!notRun || (label !in ran && label != running)) { "false not-run to $label" }
        }
    }

    /**
     * Checks that a `not-run` of the owner holds for the key. A claim that cannot be queried is exempt, since its
     * `not-run` concerns one send only.
     */
    private fun checkNotRun(outcome: KeyOutcome, label: String) {
        val reason = (outcome as? KeyOutcome.Refused)?.reason ?: return
        if (reason.kind != OutcomeKind.NOT_RUN || reason == RefusalReason.CLAIM_UNAVAILABLE) return
        verify(ran.isEmpty() && running == null) { "false not-run for $label" }
    }

    /** Stops an entry. What it had sent to an upstream or to the store may still take effect. */
    private fun kill(entry: Entry) {
        entries.remove(entry)
        stopped += entry.ref
        entry.job.cancel()
        if (steps.any { it.at === entry && it.name.startsWith("answered") }) {
            ran += checkNotNull(running)
            running = null
        }
        steps.removeAll { it.at === entry && !it.name.startsWith("write ") }
        val writes = steps.filter { it.at === entry }
        steps.removeAll(writes)
        writes.firstOrNull { it.name.startsWith("write lost") }?.let {
            steps +=
                Step("of the stopped entry: ${it.name}", null, false, null, it.action)
        }
        if (restarts++ == 0) addEntry(entry.ref.id.value, 2)
    }

    /** Records a violation; an exception would end only the coroutine of one send. */
    private fun verify(condition: Boolean, message: () -> String) {
        if (!condition && violation == null) violation = message() + ": " + trace
    }

    private fun advanceTime() {
        nowMs += ELEVEN_MINUTES_MS
        entries.forEach { it.sweep() }
    }

    private fun addEntry(name: String, run: Long) {
        entries += Entry(EntryRef(EntryId(name), Incarnation(START_MS, run)))
    }

    private fun offer(name: String, at: Entry?, group: Any? = null, fault: Boolean = false, action: () -> Unit) {
        steps += Step(name, at, fault, group, action)
    }

    private companion object {
        const val START_MS = 1_000_000_000_000L
        const val ELEVEN_MINUTES_MS = 11 * 60_000L
    }
}
