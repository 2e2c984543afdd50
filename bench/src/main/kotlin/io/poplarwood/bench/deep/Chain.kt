package io.poplarwood.bench.deep

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.api.work.Target
import io.poplarwood.bench.virtual.EventLoop
import io.poplarwood.decision.dispatch.Call
import io.poplarwood.decision.dispatch.CallId
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.dispatch.DispatcherSettings
import io.poplarwood.decision.dispatch.ServiceDispatcher
import io.poplarwood.decision.explain.ExplainLog
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.decision.routing.AttemptResult
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A chain of services in which every request of one level makes one request of the next.
 *
 * Each level is a shipped dispatcher. An attempt is lost with a fixed probability after its inner call ended, which is
 * the costly case: the whole inner chain has run for nothing.
 *
 * @param lost probability of losing an attempt, 0..1
 */
internal class Chain(
    private val loop: EventLoop,
    depth: Int,
    private val lost: Double,
    private val levels: RetryLevels,
    settings: DispatcherSettings,
    seed: Long,
) {
    private val random = SplitMix(seed)
    private val ends = List(depth) { HashMap<Long, (Boolean) -> Unit>() }
    private val dispatchers: List<ServiceDispatcher> = List(depth) { level ->
        val document = document(level)
        val own = SplitMix(seed + level + 1)
        ServiceDispatcher(document, settings, loop, own, FreeRouter(), ExplainLog(1)) { carryOut(level, it) }
    }
    private var nextCall = 0L

    /** Attempts that reached each level. */
    val attempts: LongArray = LongArray(depth)

    init {
        loop.every(TICK) {
            dispatchers.forEach { it.tick() }
            true
        }
    }

    /** Starts one call at [level]; [ended] tells whether it was answered. */
    fun call(level: Int, ended: (Boolean) -> Unit) {
        val id = CallId(nextCall++)
        ends[level][id.value] = ended
        val now = loop.now()
        val mayRetry = level == 0 || levels == RetryLevels.EVERY
        val request = RequestId("r${id.value}")
        dispatchers[level].offer(Call(id, request, CLASS, true, now, now + LIMIT, true, mayRetry))
    }

    private fun carryOut(level: Int, command: Command) {
        when (command) {
            is Command.Dispatch -> attempt(level, command)
            is Command.Complete -> ends[level].remove(command.call.value)?.invoke(true)
            is Command.Refuse -> ends[level].remove(command.call.value)?.invoke(false)
            else -> Unit
        }
    }

    private fun attempt(level: Int, dispatch: Command.Dispatch) {
        attempts[level]++
        if (level + 1 == attempts.size) {
            loop.after(WORK) { finish(level, dispatch, inner = true) }
        } else {
            loop.after(WORK) { call(level + 1) { ok -> finish(level, dispatch, ok) } }
        }
    }

    /** An upstream whose inner call failed breaks off its own answer. */
    private fun finish(level: Int, dispatch: Command.Dispatch, inner: Boolean) {
        val answered = inner && random.nextDouble() >= lost
        val result = if (answered) AttemptResult.ANSWERED else AttemptResult.CONNECTION_LOST
        dispatchers[level].attemptEnded(dispatch.call, dispatch.attempt, AttemptObservation(result, WORK))
    }

    private fun document(level: Int) = ServiceDocument(
        ServiceName("level-$level"),
        listOf(ClassSpec(CLASS, Rank.URGENT, Target(servedWithinMs = LIMIT.inWholeMilliseconds))),
        CLASS,
    )

    private companion object {
        val CLASS = ClassName("check")
        val WORK = 1.milliseconds
        val TICK = 10.milliseconds
        val LIMIT = 10.seconds
    }
}
