package io.poplarwood.bench.demo

/** Reads the counters of retries out of metrics in Prometheus text format. */
internal object RetryCounts {
    private val LINE = Regex("""poplarwood_retries_total\{.*reason="([^"]+)".*} (\S+)""")

    /** Sums over all [expositions], without reasons that did not occur. */
    fun sum(expositions: List<String>): Map<String, Long> =
        expositions.flatMap { it.lines() }.mapNotNull(LINE::matchEntire)
            .groupBy({ it.groupValues[1] }, { it.groupValues[2].toDouble().toLong() })
            .mapValues { it.value.sum() }.filterValues { it > 0 }.toSortedMap()
}
