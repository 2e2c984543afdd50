package io.poplarwood.gateway.upstream

/**
 * Load that an upstream reports with an answer.
 *
 * @property running number of requests that the upstream is executing
 * @property waiting number of requests in the queue of the upstream
 * @property slots number of requests that the upstream executes concurrently
 * @property slowness current service time as a multiple of the usual one; null when not reported
 */
data class LoadReport(val running: Int, val waiting: Int, val slots: Int, val slowness: Double?) {
    companion object {
        private const val USUAL_PERCENT = 100.0
        private const val REQUIRED_FIELDS = 3

        /** Parses `running,waiting,slots[,percent]`; returns null when [text] has another form. */
        fun parse(text: String?): LoadReport? {
            val numbers = text?.split(',')?.map { it.trim().toIntOrNull() ?: return null } ?: return null
            if (numbers.size < REQUIRED_FIELDS || numbers.any { it < 0 }) return null
            val slowness = numbers.getOrNull(REQUIRED_FIELDS)?.takeIf { it > 0 }?.let { it / USUAL_PERCENT }
            return LoadReport(numbers[0], numbers[1], numbers[2], slowness)
        }
    }
}
