package io.poplarwood.decision.retry

/**
 * Detects that the service as a whole sheds, from the share of the latest attempts that were shed.
 *
 * While the service sheds, a further attempt would only add load to a service without spare capacity.
 */
internal class ShedMonitor(private val threshold: Double) {
    private var shedShare = 0.0

    val shedding: Boolean get() = shedShare > threshold

    fun record(busy: Boolean) {
        shedShare += SMOOTHING_WEIGHT * ((if (busy) 1.0 else 0.0) - shedShare)
    }

    private companion object {
        /** About the latest 40 attempts count. */
        const val SMOOTHING_WEIGHT = 0.05
    }
}
