package io.poplarwood.bench.answers

import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.bench.configurations.EntryVm
import io.poplarwood.bench.configurations.ProcessorShare
import io.poplarwood.bench.configurations.VmShape
import io.poplarwood.bench.configurations.nowNs
import io.poplarwood.platform.standin.StandInCaller
import io.poplarwood.platform.standin.StandInCell
import java.io.IOException
import java.nio.file.Path
import java.util.Collections
import kotlin.concurrent.thread

/** Entries as processes, upstreams and callers of one [case]; entries log to [directory]. */
internal class AnswersRun(private val case: AnswersCase, seed: Long, private val ticker: Ticker, directory: Path) :
    AutoCloseable {
    private val random = SplitMix(seed)
    private val cell = StandInCell()
    private val shares = ProcessorShare()
    private val upstreams = StutteringUpstreams(cell, case, ticker, SplitMix(random.nextLong()))
    private val entries = List(ENTRIES) {
        val shape = VmShape(1.0, LINK_MBPS, 0, 0.0)
        EntryVm("${case.label}-e$it", "z${it + 1}", shape, cell, shares, directory)
    }
    private val closeEntries = Thread { entries.forEach { it.close() } }

    init {
        Runtime.getRuntime().addShutdownHook(closeEntries)
        cell.putDesiredState(1, *ROUTES)
    }

    /** Lets callers send requests for [durationNs]. */
    fun play(durationNs: Long): AnswerFindings {
        entries.forEach { it.start() }
        entries.forEach(::awaitReady)
        val sendings = Collections.synchronizedList(ArrayList<Sending>())
        val untilNs = ticker.nowNs + durationNs
        val callers = List(CALLERS) { number ->
            val random = SplitMix(random.nextLong())
            RepeatingCaller("r$number", entries.map { it.callers }, case, ticker, random, sendings::add)
        }
        callers.map { thread(isDaemon = true) { it.run(untilNs) } }.forEach { it.join() }
        return AnswerFindings(sendings.toList(), upstreams.runs, upstreams.connections, entries.sumOf { it.errorLines })
    }

    private fun awaitReady(entry: EntryVm) {
        val untilNs = ticker.nowNs + START_LIMIT_NS
        while (!isReady(entry)) {
            check(ticker.nowNs < untilNs) { "${entry.name} is not ready after 60 s" }
            Thread.sleep(READY_STEP_MS)
        }
    }

    private fun isReady(entry: EntryVm): Boolean = try {
        StandInCaller(entry.readiness).use { it.call("GET", StandInCaller.READINESS_PATH, "ready").status } == 200
    } catch (e: IOException) {
        false
    }

    override fun close() {
        closeEntries.run()
        Runtime.getRuntime().removeShutdownHook(closeEntries)
        shares.close()
        cell.close()
    }

    private companion object {
        const val ENTRIES = 2
        const val CALLERS = 6
        const val LINK_MBPS = 100.0
        const val START_LIMIT_NS = 60_000_000_000L
        const val READY_STEP_MS = 50L
        val ROUTES = arrayOf(
            StandInCell.routeJson("/read/", timeoutS = 1.0),
            StandInCell.routeJson("/once/", StandInCell.NON_IDEMPOTENT, timeoutS = 1.0),
        )
    }
}
