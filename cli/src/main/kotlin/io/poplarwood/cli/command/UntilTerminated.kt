package io.poplarwood.cli.command

import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import sun.misc.Signal

/**
 * Turns SIGTERM and SIGINT into a cancellation and returns when the work has ended. The signals are handled here rather
 * than by a shutdown hook, since the JVM would then end with a status that says that a signal ended it.
 */
internal object UntilTerminated {
    private val signals = listOf("TERM", "INT")

    fun run(work: suspend () -> Unit) = runBlocking {
        val job = launch { work() }
        for (name in signals) Signal.handle(Signal(name)) { job.cancel() }
        job.join()
    }
}
