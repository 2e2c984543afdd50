package io.poplarwood.gateway.upstream

/**
 * Load that an upstream tells with an answer.
 *
 * @property slowness how many times as long as usual work takes at this moment; null when not told
 */
data class LoadReport(val running: Int, val waiting: Int, val slots: Int, val slowness: Double?) {
    companion object {
        private const val USUAL_PERCENT = 100.0
        private const val FIELDS = 3

        /** Parses `running,waiting,slots[,percent]`; null when [text] has another shape. */
        fun parse(text: String?): LoadReport? {
            val numbers = text?.split(',')?.map { it.trim().toIntOrNull() ?: return null } ?: return null
            if (numbers.size < FIELDS || numbers.any { it < 0 }) return null
            val slowness = numbers.getOrNull(FIELDS)?.takeIf { it > 0 }?.let { it / USUAL_PERCENT }
            return LoadReport(numbers[0], numbers[1], numbers[2], slowness)
        }
    }
}
