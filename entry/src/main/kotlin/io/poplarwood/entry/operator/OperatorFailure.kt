package io.poplarwood.entry.operator

/** Why an operator's request gave no value. */
sealed interface OperatorFailure {
    /** No entry answered. */
    data class Unreachable(val tried: List<String>) : OperatorFailure

    /** The request was sent to [entry] and its answer was lost; it may have taken effect. */
    data class AnswerLost(val entry: String) : OperatorFailure

    /** [entry] refused the request. */
    data class Refused(val entry: String, val status: Int, val error: String) : OperatorFailure
}
