package io.poplarwood.bench.overhead

import java.lang.management.ManagementFactory

/** Processor time and allocation of the threads of one stage. */
internal data class ThreadUse(val cpuNanos: Long, val allocatedBytes: Long) {
    operator fun minus(earlier: ThreadUse) =
        ThreadUse(cpuNanos - earlier.cpuNanos, allocatedBytes - earlier.allocatedBytes)

    operator fun plus(other: ThreadUse) =
        ThreadUse(cpuNanos + other.cpuNanos, allocatedBytes + other.allocatedBytes)

    companion object {
        private val beans = ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean

        /** Use so far of all live threads, by stage. */
        fun now(): Map<String, ThreadUse> {
            val ids = beans.allThreadIds
            val cpu = beans.getThreadCpuTime(ids)
            val allocated = beans.getThreadAllocatedBytes(ids)
            val infos = beans.getThreadInfo(ids)
            val uses = HashMap<String, ThreadUse>()
            for (at in ids.indices) {
                val name = infos[at]?.threadName ?: continue
                val use = ThreadUse(cpu[at].coerceAtLeast(0), allocated[at].coerceAtLeast(0))
                uses.merge(stageOf(name), use, ThreadUse::plus)
            }
            return uses
        }

        private fun stageOf(thread: String): String =
            when {
                thread.startsWith(EchoLoad.THREADS) -> "callers"
                thread.startsWith(EchoUpstream.THREADS) -> "upstream"
                thread.startsWith("eventLoopGroupProxy") -> "listener"
                thread.startsWith("httpclient-dispatch") || thread.startsWith("Ktor-client") -> "client"
                thread.startsWith("DefaultDispatcher") -> "dispatchers"
                else -> "other"
            }
    }
}
