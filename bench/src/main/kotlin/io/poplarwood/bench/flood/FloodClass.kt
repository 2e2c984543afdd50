package io.poplarwood.bench.flood

import io.poplarwood.api.work.ClassSpec

/**
 * A class of work in a flood.
 *
 * @property load slot time that arrives per second, as a part of the capacity
 * @property size mean service time as a multiple of the upstreams' own
 */
class FloodClass(val spec: ClassSpec, val load: Double, val size: Double, settings: FloodSettings) {
    /** Slot time that the class uses in the measured part of a run. */
    val usage: SlotUsage = SlotUsage(settings.warmUp, settings.warmUp + settings.measured)
}
