package io.poplarwood.gateway.upstream

/** What one answer says about the rate of requests that its upstream accepts from all entries together. */
internal sealed interface LimitNotice {
    /** The upstream accepts [perSecond] requests per second, 0 or more. */
    data class Limited(val perSecond: Double) : LimitNotice

    /** The answer names no limit. */
    data object Absent : LimitNotice

    /** The answer names a limit that cannot be parsed. It neither sets nor ends a limit. */
    data object Malformed : LimitNotice

    companion object {
        /** Digits with an optional fraction. A sign, an exponent, `NaN` and `Infinity` are malformed. */
        private val DECIMAL = Regex("""\d{1,15}(\.\d{0,15})?|\.\d{1,15}""")

        /**
         * Parses all values of the limit header of one answer. The lowest of several values counts; values that are no
         * decimal numbers are skipped if there is another one.
         */
        fun parse(values: List<String>): LimitNotice {
            if (values.isEmpty()) return Absent
            val rates = values.flatMap { it.split(',') }.map { it.trim() }.filter(DECIMAL::matches)
            return rates.minOfOrNull { it.toDouble() }?.let(::Limited) ?: Malformed
        }
    }
}
