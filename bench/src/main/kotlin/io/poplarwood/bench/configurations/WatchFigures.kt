package io.poplarwood.bench.configurations

/**
 * Figures of [samples]; times are in milliseconds, NaN when nothing of the kind was recorded.
 *
 * @param changed those of the samples whose version was sent in the same time
 */
internal class WatchFigures(private val samples: List<Sample>, private val changed: List<Sample>) {
    private val notFound = samples.filter { it.status == Sample.NOT_FOUND }

    /** Requests answered 404, though all routes exist. */
    val notFoundCount: Int get() = notFound.size

    /** Longest time from the store's confirmation of a version to a request answered 404. */
    val notFoundUntilMs: Double get() = (notFound.maxOfOrNull { it.sinceVersionNs } ?: 0) / NANOS_PER_MS

    /** Requests answered 404 by an entry that had served the same version before. */
    val notFoundAgainCount: Int
        get() = notFound.count { lost ->
            samples.any { it.served(lost.version, lost.entry) && it.sentNs < lost.sentNs }
        }

    /** Requests handled by a version that had been overtaken for longer than the bound. */
    val outdatedCount: Int get() = samples.count { it.outdated }

    /** Requests answered otherwise than 200 or 404, or not at all. */
    val refusedCount: Int get() = samples.count { it.status != Sample.OK && it.status != Sample.NOT_FOUND }

    /**
     * Longest time from the store's confirmation of a version until an entry serves it that was ready before: its first
     * answer by it, or a later request for it that was not served.
     */
    val inForceMs: Double
        get() {
            val asked = changed.filter { it.question == Question.NEWEST_ROUTE }
                .filter { it.readyAtNs < it.sentNs - it.sinceVersionNs }
            val served = asked.filter { it.status == Sample.OK }.groupBy { it.entry to it.version }
                .map { (_, answers) -> answers.minOf { it.sinceVersionNs + it.waitNs } }
            val refused = asked.filter { it.status != Sample.OK }.map { it.sinceVersionNs }
            return (served + refused).maxOrNull()?.let { it / NANOS_PER_MS } ?: Double.NaN
        }

    /** The wait for readiness that [share] of the checks do not exceed. */
    fun readinessMs(share: Double): Double = waitMs(share) { it.question == Question.READINESS }

    /** The wait for an answer that [share] of the requests do not exceed. */
    fun requestMs(share: Double): Double = waitMs(share) { it.question != Question.READINESS }

    private fun Sample.served(version: SentVersion?, by: EntryVm) =
        this.version === version && entry === by && question == Question.NEWEST_ROUTE && status == Sample.OK

    private fun waitMs(share: Double, select: (Sample) -> Boolean): Double {
        val sorted = samples.filter(select).map { it.waitNs }.sorted()
        if (sorted.isEmpty()) return Double.NaN
        return sorted[((sorted.size - 1) * share).toInt()] / NANOS_PER_MS
    }

    private companion object {
        const val NANOS_PER_MS = 1e6
    }
}
