package io.poplarwood.decision.routing.baseline

/** Chooses one of the candidates of a [StrategyRouter]. */
fun interface SelectionStrategy {
    /** Index of the chosen candidate, below [Candidates.count]. */
    fun choose(candidates: Candidates): Int
}
