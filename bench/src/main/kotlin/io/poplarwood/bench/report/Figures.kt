package io.poplarwood.bench.report

import java.util.Locale
import kotlin.math.abs

/** Writes figures with as many digits as they are worth. */
object Figures {
    /** Four significant digits, whole numbers in full, a dash for a value that does not apply. */
    fun shown(value: Double): String = when {
        value.isNaN() -> "–"
        value % 1 == 0.0 && abs(value) < LARGEST_WHOLE -> value.toLong().toString()
        abs(value) >= FULL -> String.format(Locale.ROOT, "%.0f", value)
        else -> String.format(Locale.ROOT, "%.4g", value)
    }

    private const val FULL = 10_000.0
    private const val LARGEST_WHOLE = 1e15
}
