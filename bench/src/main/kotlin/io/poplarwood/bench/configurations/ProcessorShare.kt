package io.poplarwood.bench.configurations

import java.io.File
import java.io.Writer
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * Lets processes run for a share of the time only, as on a VM with a share of a core: SIGSTOP and SIGCONT in a cycle of
 * 100 ms. One shell sends the signals, since a new process for each would delay them.
 */
internal class ProcessorShare : AutoCloseable {
    private val shell = ProcessBuilder("sh", "-c", "while read -r signal pid; do kill -\$signal \$pid; done")
        .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start()
    private val signals: Writer = shell.outputWriter()

    /** Lets [process] run for [share] of each cycle from now on; [phase] (0 to 1) is its place in the cycle. */
    fun limit(process: Process, share: Double, phase: Double) = thread(isDaemon = true) {
        val runNs = (CYCLE_NS * share).toLong()
        var cycleNs = System.nanoTime() + (CYCLE_NS * phase).toLong()
        while (process.isAlive) {
            awaitTime(cycleNs)
            send(process, "CONT")
            awaitTime(cycleNs + runNs)
            send(process, "STOP")
            // A cycle that begins too late is left out, since the process would not run in it.
            do cycleNs += CYCLE_NS while (cycleNs + runNs < System.nanoTime())
        }
    }

    private fun send(process: Process, signal: String) = synchronized(signals) {
        if (!process.isAlive) return
        signals.write("$signal ${process.pid()}\n")
        signals.flush()
    }

    private fun awaitTime(atNs: Long) {
        val waitNs = atNs - System.nanoTime()
        if (waitNs > 0) TimeUnit.NANOSECONDS.sleep(waitNs)
    }

    override fun close() = signals.close()

    companion object {
        private const val CYCLE_NS = 100_000_000L
        private val TASKSET = File("/usr/bin/taskset")

        /** [command] bound to the processor [core], as far as the system can do that. */
        fun onOneCore(command: List<String>, core: Int): List<String> =
            if (TASKSET.canExecute()) listOf(TASKSET.path, "-c", core.toString()) + command else command
    }
}
