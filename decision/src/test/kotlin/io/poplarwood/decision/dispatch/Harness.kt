package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.api.work.Target
import io.poplarwood.decision.explain.ExplainLog
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.decision.routing.AttemptResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val URGENT = ClassName("checks")
internal val STANDARD = ClassName("orders")
internal val BACKGROUND = ClassName("archive")

internal fun classSpec(name: ClassName, rank: Rank, target: Target = Target(servedWithinMs = 60_000)) =
    ClassSpec(name, rank, target)

internal val THREE_RANKS = ServiceDocument(
    ServiceName("counter"),
    listOf(
        classSpec(URGENT, Rank.URGENT),
        classSpec(STANDARD, Rank.STANDARD),
        classSpec(BACKGROUND, Rank.BACKGROUND, Target(keepShare = 0.2)),
    ),
    STANDARD,
)

/** A dispatcher with a fake router, a manual clock and a record of its commands. */
internal class Harness(
    val router: FakeRouter,
    document: ServiceDocument = THREE_RANKS,
    settings: DispatcherSettings = DispatcherSettings(urgentReserve = 0.0),
) {
    var now: Duration = Duration.ZERO
    val commands = ArrayList<Command>()
    val explain = ExplainLog()
    val dispatcher =
        ServiceDispatcher(document, settings, { now }, SplitMix(1), router, explain) { commands += it }
    private var nextCall = 0L

    val dispatched get() = commands.filterIsInstance<Command.Dispatch>()
    val refused get() = commands.filterIsInstance<Command.Refuse>()
    val completed get() = commands.filterIsInstance<Command.Complete>()

    init {
        tick(Duration.ZERO)
    }

    fun offer(
        name: ClassName,
        deadline: Duration = 60.seconds,
        idempotent: Boolean = true,
        fingerprint: Long = 0,
    ): CallId {
        val id = CallId(nextCall++)
        val request = RequestId("r${id.value}")
        dispatcher.offer(
            Call(id, request, name, idempotent, now, now + deadline, fingerprint = fingerprint),
        )
        return id
    }

    fun finish(dispatch: Command.Dispatch, result: AttemptResult = AttemptResult.ANSWERED) {
        dispatcher.attemptEnded(dispatch.call, dispatch.attempt, AttemptObservation(result, 1.milliseconds))
    }

    fun tick(step: Duration = 10.milliseconds) {
        now += step
        dispatcher.tick()
    }

    fun lastDispatch(call: CallId) = dispatched.last { it.call == call }

    fun reasons(call: CallId): List<RefusalReason> = refused.filter { it.call == call }.map { it.refusal.reason }
}
