package io.poplarwood.cli.command

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking

/** Turns SIGTERM and SIGINT into a cancellation and keeps the JVM until the work has ended. */
internal object UntilTerminated {
    fun run(work: suspend () -> Unit) {
        val ended = CompletableDeferred<Unit>()
        try {
            runBlocking {
                val job = launch { work() }
                // The JVM ends when its shutdown hooks do, so the hook waits for the graceful stop.
                val hook = Thread {
                    runBlocking {
                        job.cancelAndJoin()
                        ended.await()
                    }
                }
                Runtime.getRuntime().addShutdownHook(hook)
                job.join()
                runCatching { Runtime.getRuntime().removeShutdownHook(hook) }
            }
        } catch (_: CancellationException) {
            // The graceful stop.
        } finally {
            ended.complete(Unit)
        }
    }
}
