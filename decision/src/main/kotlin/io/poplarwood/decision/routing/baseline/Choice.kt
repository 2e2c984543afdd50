package io.poplarwood.decision.routing.baseline

/** Chooses one of the candidates of a [ChoiceRouter]; the result is an index below [Candidates.count]. */
fun interface Choice {
    /** The chosen candidate. */
    fun choose(candidates: Candidates): Int
}
