package io.poplarwood.entry.forward

/** Load that an upstream states on an answer. */
internal class ReportedLoad(val inFlight: Int, val slots: Int) {
    companion object {
        /** Parses `inFlight/slots`; null when [text] has another shape. */
        fun parse(text: String?): ReportedLoad? {
            val slash = text?.indexOf('/') ?: return null
            if (slash < 0) return null
            val inFlight = text.substring(0, slash).trim().toIntOrNull() ?: return null
            val slots = text.substring(slash + 1).trim().toIntOrNull() ?: return null
            return if (inFlight < 0 || slots < 0) null else ReportedLoad(inFlight, slots)
        }
    }
}
