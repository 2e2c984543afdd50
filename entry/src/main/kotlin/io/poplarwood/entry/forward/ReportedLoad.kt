package io.poplarwood.entry.forward

/** Load that an upstream states on an answer. */
internal class ReportedLoad(val inFlight: Int, val slots: Int) {
    companion object {
        /** Parses `inFlight/slots`; null when [text] has another shape. */
        fun parse(text: String?): ReportedLoad? {
            val at = text?.indexOf('/') ?: return null
            if (at < 0) return null
            val inFlight = text.substring(0, at).trim().toIntOrNull() ?: return null
            val slots = text.substring(at + 1).trim().toIntOrNull() ?: return null
            return if (inFlight < 0 || slots < 0) null else ReportedLoad(inFlight, slots)
        }
    }
}
