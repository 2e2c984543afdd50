package io.poplarwood.bench.budget

/**
 * What happens to the entries of a [ProbingFleet], as probabilities for each entry and tick of 10 ms.
 *
 * @property changesPerTick an entry leaves, or another one starts in its place
 * @property pausesPerTick an entry stands still for up to 5 s
 */
internal data class Trouble(val name: String, val changesPerTick: Double = 0.0, val pausesPerTick: Double = 0.0)
