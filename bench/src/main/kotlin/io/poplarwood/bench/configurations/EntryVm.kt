package io.poplarwood.bench.configurations

import io.poplarwood.gateway.settings.GatewaySettings
import io.poplarwood.gateway.settings.ProcessLimits
import io.poplarwood.platform.standin.LinkRelay
import io.poplarwood.platform.standin.StandInCell
import kotlinx.serialization.json.Json
import java.io.File
import java.nio.file.Files
import java.nio.file.Path

/** One entry as a process of its own, with a link to the store and a share of a processor; logs to [directory]. */
internal class EntryVm(
    val name: String,
    zone: String,
    val shape: VmShape,
    cell: StandInCell,
    private val shares: ProcessorShare,
    directory: Path,
) : AutoCloseable {
    /** Link from the store to this entry. */
    val link = LinkRelay(cell.store.address).apply { bitsPerSecond = shape.linkMbps * BITS_PER_MEGABIT }
    private val settings = cell.settings(name, zone, link.address).let {
        it.copy(
            limits = ProcessLimits(MEMORY_MB, MAX_DESCRIPTORS, shape.processorShare, 1.0, shape.linkMbps),
            bounds = it.bounds.copy(changeS = ConfigurationsBench.BOUND_S),
        )
    }
    private val settingsFile = directory.resolve("$name.json")
    private val logFile = directory.resolve("$name.log")
    private var process: Process? = null

    /** Address for callers. */
    val callers: String get() = settings.listen.callers

    /** Address for readiness checks. */
    val readiness: String get() = settings.listen.readiness

    /** Number of starts so far; equal before and after an answer if the entry did not restart meanwhile. */
    @Volatile
    var starts: Int = 0
        private set

    /** When the running process first answered that it is ready, as a reading of the bench's clock; null before. */
    @Volatile
    var readyAtNs: Long? = null

    /** Largest memory of the running process in megabytes; NaN where the system does not tell. */
    val peakMemoryMb: Double
        get() {
            val status = File("/proc/${process?.pid()}/status").takeIf { it.canRead() } ?: return Double.NaN
            val line = status.readLines().firstOrNull { it.startsWith("VmHWM:") } ?: return Double.NaN
            return line.filter { it.isDigit() }.toDouble() / KILOBYTES_PER_MEGABYTE
        }

    /**
     * Time in milliseconds for which threads of the running process were ready to run, but other programs or threads
     * had the processor; 0 where the system does not tell.
     */
    val processorWaitMs: Double
        get() = File("/proc/${process?.pid()}/task").listFiles().orEmpty().sumOf { thread ->
            val fields = thread.resolve("schedstat").takeIf { it.canRead() }?.readText()?.split(' ')
            (fields?.getOrNull(1)?.toDoubleOrNull() ?: 0.0) / NANOS_PER_MS
        }

    /** Number of log lines of level `ERROR` so far, over all starts. */
    val errorLines: Int
        get() = logFile.toFile().takeIf { it.exists() }?.useLines { lines -> lines.count { ERROR_MARK in it } } ?: 0

    /** Starts the process. */
    fun start() {
        Files.writeString(settingsFile, Json.encodeToString(GatewaySettings.serializer(), settings))
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val command = listOf(java) + JVM_FLAGS + program() + listOf("gateway", "--settings", settingsFile.toString())
        val log = ProcessBuilder.Redirect.appendTo(logFile.toFile())
        val started = ProcessBuilder(if (shape.small) ProcessorShare.onOneCore(command, shape.core) else command)
            .redirectErrorStream(true).redirectOutput(log).start()
        process = started
        starts++
        if (shape.small) shares.limit(started, shape.processorShare, shape.phase)
    }

    /** Ends the process without a graceful stop, as the loss of a VM does. */
    fun kill() {
        readyAtNs = null
        starts++
        process?.destroyForcibly()?.waitFor()
    }

    override fun close() {
        kill()
        link.close()
    }

    private companion object {
        const val MEMORY_MB = 330
        const val MAX_DESCRIPTORS = 4_100
        const val BITS_PER_MEGABIT = 1e6
        const val NANOS_PER_MS = 1e6
        const val KILOBYTES_PER_MEGABYTE = 1_024
        const val ERROR_MARK = "\"level\":\"ERROR\""

        /** The flags of deploy/system.toml; with the VM's memory, since the first size of the heap depends on it. */
        val JVM_FLAGS = listOf(
            "-XX:MaxRAM=${MEMORY_MB}m",
            "-Xms40m",
            "-Xmn16m",
            "-Xmx160m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Xshare:auto",
        )

        /** The jar of the daemon beside the running jar, with its archive of classes; the class path in tests. */
        fun program(): List<String> {
            val classPath = System.getProperty("java.class.path")
            val jar = File(classPath).absoluteFile.resolveSibling("poplarwood-daemon.jar")
            if (!jar.exists()) return listOf("-cp", classPath, "io.poplarwood.daemon.MainKt")
            val archive = jar.resolveSibling("poplarwood-daemon.jsa")
            return listOfNotNull("-XX:SharedArchiveFile=$archive".takeIf { archive.exists() }, "-jar", jar.path)
        }
    }
}
