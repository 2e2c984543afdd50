package io.poplarwood.cli.report

import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.Target
import io.poplarwood.bench.report.Figures

/** Formats values for tables. */
internal object ValueFormat {
    fun rank(rank: Rank): String = rank.name.lowercase()

    fun target(target: Target): String = listOfNotNull(
        target.servedWithinMs?.let { "${percent(target.servedPart)} within $it ms" },
        target.keepShare?.let { "keeps ${percent(it)}" },
    ).joinToString(", ")

    fun percent(part: Double): String = "${Figures.shown(Math.round(part * PER_MILLION) / PER_PERCENT)}%"

    fun counts(counts: Map<String, Long>): String =
        if (counts.isEmpty()) "–" else counts.entries.joinToString { "${it.key} ${it.value}" }

    private const val PER_MILLION = 1_000_000
    private const val PER_PERCENT = 10_000.0
}
