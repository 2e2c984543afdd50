package io.poplarwood.cli.command

import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import sun.misc.Signal

/**
 * Cancels the work on SIGTERM or SIGINT and returns when it has ended. Signal handlers are used rather than a shutdown
 * hook because after a hook the JVM exits with a status that reports termination by a signal.
 */
internal object UntilTerminated {
    private val signals = listOf("TERM", "INT")

    fun run(work: suspend () -> Unit) = runBlocking {
        val job = launch { work() }
        for (name in signals) Signal.handle(Signal(name)) { job.cancel() }
        job.join()
    }
}
