package io.poplarwood.entry.runtime

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.decision.dispatch.Call
import io.poplarwood.decision.dispatch.CallId
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.dispatch.Dispatcher
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.decision.routing.LeaseMessage
import io.poplarwood.decision.routing.UpstreamView
import kotlinx.collections.immutable.ImmutableList
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

internal class DispatcherRuntimeSpec {
    private val upstream = UpstreamId("127.0.0.1:1", "a")
    private val answered = AttemptObservation(AttemptResult.ANSWERED, Duration.ZERO)
    private val call = Call(CallId(1), RequestId("r"), ClassName("c"), true, Duration.ZERO, 1.seconds)

    @Nested
    inner class `a call` {
        /** Guards against a caller that waits forever after its upstream answered. */
        @Test
        fun `ends without refusal when its attempt is answered`() = runTest {
            val runtime = runtime { emit(Command.Dispatch(it.id, 1, upstream)) }
            assertNull(runtime.run(call) { answered })
        }

        /** Guards against a refusal that is lost between the dispatcher and the caller. */
        @Test
        fun `receives the refusal from the dispatcher`() = runTest {
            val refusal = Refusal(RefusalReason.OVERLOADED)
            val runtime = runtime { emit(Command.Refuse(it.id, refusal)) }
            assertEquals(refusal, runtime.run(call) { answered })
        }
    }

    @Nested
    inner class `a cancelled call` {
        /** Guards against slots that are never returned when callers cancel during an attempt. */
        @Test
        fun `reports its running attempt as cancelled`() = runTest {
            lateinit var fake: FakeDispatcher
            val runtime = DispatcherRuntime({ emit ->
                FakeDispatcher(emit) { emit(Command.Dispatch(it.id, 1, upstream)) }.also { fake = it }
            }) {}
            val started = CompletableDeferred<Unit>()
            val job = launch {
                runtime.run(call) {
                    started.complete(Unit)
                    awaitCancellation()
                }
            }
            started.await()
            job.cancelAndJoin()
            assertEquals(listOf(AttemptResult.CANCELLED), fake.results)
            assertEquals(listOf(call.id), fake.cancelled)
        }

        /** Guards against a slot that leaks when a dispatch is decided while the caller cancels. */
        @Test
        fun `returns a slot that was granted but not yet used`() = runTest {
            lateinit var fake: FakeDispatcher
            val runtime = DispatcherRuntime({ emit -> FakeDispatcher(emit) {}.also { fake = it } }) {}
            val job = launch { runtime.run(call) { answered } }
            yield()
            job.cancel()
            runtime.withDispatcher { fake.emit(Command.Dispatch(call.id, 1, upstream)) }
            job.join()
            assertEquals(listOf(AttemptResult.CANCELLED), fake.results)
        }
    }

    private fun runtime(onOffer: FakeDispatcher.(Call) -> Unit) =
        DispatcherRuntime({ emit -> FakeDispatcher(emit, onOffer) }) {}

    private class FakeDispatcher(
        val emit: (Command) -> Unit,
        private val onOffer: FakeDispatcher.(Call) -> Unit,
    ) : Dispatcher {
        val results = mutableListOf<AttemptResult>()
        val cancelled = mutableListOf<CallId>()

        override fun offer(call: Call) = onOffer(call)

        override fun attemptEnded(call: CallId, attempt: Int, evidence: AttemptObservation) {
            results += evidence.result
            emit(Command.Complete(call))
        }

        override fun cancel(call: CallId) {
            cancelled += call
        }

        override fun receive(from: EntryRef, message: LeaseMessage) = Unit

        override fun configure(document: ServiceDocument) = Unit

        override fun updateUpstreams(list: ImmutableList<UpstreamView>) = Unit

        override fun updateEntries(list: ImmutableList<EntryRef>) = Unit

        override fun tick() = Unit
    }
}
