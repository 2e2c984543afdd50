package io.poplarwood.bench.configurations

import io.poplarwood.api.time.Ticker
import java.util.concurrent.ConcurrentLinkedQueue

/** What the watches recorded, by series. */
internal class WatchResults(private val ticker: Ticker) {
    private class Span(val series: Series, val fromNs: Long)

    private val spans = ArrayList<Span>()
    private val samples = ConcurrentLinkedQueue<Sample>()

    /** The series that were played, in order. */
    val played: List<Series> get() = spans.map { it.series }

    /** Samples from now on belong to [series]; those before the first call are not kept. */
    fun begin(series: Series) {
        if (spans.isEmpty()) samples.clear()
        spans += Span(series, ticker.nowNs)
    }

    /** Keeps [sample]. */
    fun record(sample: Sample) {
        samples += sample
    }

    /** Figures of all samples at the entries that [at] selects, in [series] only unless it is null. */
    fun figures(series: Series?, at: (EntryVm) -> Boolean = { true }): WatchFigures {
        val selected = samples.filter { at(it.entry) && (series == null || series == seriesAt(it.sentNs)) }
        // The version of the series before counts for that one.
        val from = spans.firstOrNull { it.series == series }?.fromNs ?: Long.MIN_VALUE
        return WatchFigures(selected, selected.filter { it.version != null && it.version.sentNs >= from })
    }

    private fun seriesAt(ns: Long): Series? = spans.lastOrNull { it.fromNs <= ns }?.series
}
