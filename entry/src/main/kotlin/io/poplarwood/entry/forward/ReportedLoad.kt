package io.poplarwood.entry.forward

/**
 * Load that an upstream reports on a response.
 *
 * @property inFlight number of requests that the upstream is processing
 * @property slots number of requests that the upstream can process at once
 */
internal class ReportedLoad(val inFlight: Int, val slots: Int) {
    companion object {
        /** Parses `inFlight/slots`; null when [text] has another form or a negative number. */
        fun parse(text: String?): ReportedLoad? {
            val slash = text?.indexOf('/') ?: return null
            if (slash < 0) return null
            val inFlight = text.substring(0, slash).trim().toIntOrNull() ?: return null
            val slots = text.substring(slash + 1).trim().toIntOrNull() ?: return null
            return if (inFlight < 0 || slots < 0) null else ReportedLoad(inFlight, slots)
        }
    }
}
