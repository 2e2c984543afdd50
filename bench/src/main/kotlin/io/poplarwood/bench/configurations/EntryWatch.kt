package io.poplarwood.bench.configurations

import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.platform.standin.StandInCaller
import java.io.IOException
import java.util.Collections
import kotlin.concurrent.thread

/** Asks one entry for readiness every 100 ms, and for an old and for the newest route every 20 to 50 ms each. */
internal class EntryWatch(
    private val entry: EntryVm,
    private val changes: ConfigurationChanges,
    private val ticker: Ticker,
    private val record: (Sample) -> Unit,
    randoms: () -> RandomSource,
) : AutoCloseable {
    @Volatile
    private var closed = false
    private val threads = Collections.synchronizedList(ArrayList<Thread>())

    init {
        threads += thread(isDaemon = true) { askReadiness() }
        for (question in listOf(Question.OLD_ROUTE, Question.NEWEST_ROUTE)) {
            val random = randoms()
            threads += thread(isDaemon = true) { askRoutes(question, random) }
        }
    }

    /** A check that is not answered yet counts with the time until now. */
    override fun close() {
        closed = true
        threads.forEach { it.join() }
    }

    private fun askReadiness() {
        var unansweredSinceNs: Long? = null
        while (!closed) {
            val starts = entry.starts
            val readyAtNs = entry.readyAtNs
            val fromNs = unansweredSinceNs ?: ticker.nowNs
            val status = try {
                StandInCaller(entry.readiness).use { it.call("GET", StandInCaller.READINESS_PATH, "ready").status }
            } catch (e: IOException) {
                0
            }
            unansweredSinceNs = null
            if (entry.starts == starts && readyAtNs == null && status == Sample.OK) entry.readyAtNs = ticker.nowNs
            if (entry.starts == starts && readyAtNs != null) {
                if (status == Sample.OK) recordReadiness(readyAtNs, fromNs, status) else unansweredSinceNs = fromNs
            }
            Thread.sleep(READINESS_PAUSE_MS)
        }
        unansweredSinceNs?.let { recordReadiness(it, it, 0) }
    }

    private fun recordReadiness(readyAtNs: Long, fromNs: Long, status: Int) =
        record(Sample(entry, readyAtNs, Question.READINESS, fromNs, ticker.nowNs - fromNs, status))

    private fun askRoutes(question: Question, random: RandomSource) {
        var caller: StandInCaller? = null
        var number = 0
        while (!closed) {
            Thread.sleep(MIN_PAUSE_MS + random.nextInt(PAUSE_SPREAD_MS))
            val starts = entry.starts
            val readyAtNs = entry.readyAtNs ?: continue
            val version = changes.newest
            val path = if (question == Question.OLD_ROUTE) OLD_PATH else version.newestRoute
            val sentNs = ticker.nowNs
            val reply = try {
                (caller ?: StandInCaller(entry.callers)).also { caller = it }
                    .call("GET", path, "${entry.name}-$question-${number++}")
            } catch (e: IOException) {
                caller?.close()
                caller = null
                null
            }
            val waitNs = ticker.nowNs - sentNs
            val outdated = isOutdated(question, sentNs, reply)
            if (entry.starts != starts) continue
            record(Sample(entry, readyAtNs, question, sentNs, waitNs, reply?.status ?: 0, version, outdated))
        }
        caller?.close()
    }

    private fun isOutdated(question: Question, sentNs: Long, reply: StandInCaller.Reply?): Boolean {
        val settled = changes.settled(sentNs) ?: return false
        if (reply?.status == Sample.NOT_FOUND) return true
        return question == Question.OLD_ROUTE && reply?.status == Sample.OK && reply.body != settled.service
    }

    private companion object {
        const val OLD_PATH = ConfigurationChanges.OLD_ROUTE + "x"
        const val READINESS_PAUSE_MS = 100L
        const val MIN_PAUSE_MS = 20L
        const val PAUSE_SPREAD_MS = 31
    }
}
