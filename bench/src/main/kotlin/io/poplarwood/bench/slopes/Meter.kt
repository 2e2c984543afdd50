package io.poplarwood.bench.slopes

import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Reads what the JVM knows about processor time and heap. */
internal object Meter {
    private val threads = ManagementFactory.getThreadMXBean()
    private val memory = ManagementFactory.getMemoryMXBean()

    /** Processor time of this thread that [block] takes; other load on the machine does not count. */
    fun processorTime(block: () -> Unit): Duration {
        val before = threads.currentThreadCpuTime
        block()
        return (threads.currentThreadCpuTime - before).nanoseconds
    }

    /** Bytes of heap in use once garbage is collected. */
    fun heapInUse(): Long {
        repeat(COLLECTIONS) { memory.gc() }
        return memory.heapMemoryUsage.used
    }

    private const val COLLECTIONS = 3
}
