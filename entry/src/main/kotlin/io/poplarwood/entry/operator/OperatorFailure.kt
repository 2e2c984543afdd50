package io.poplarwood.entry.operator

/** Why an operator's request returned no value. */
sealed interface OperatorFailure {
    /** No entry responded. */
    data class Unreachable(val tried: List<String>) : OperatorFailure

    /** The request was sent to [entry] but the response was lost; the request may have taken effect. */
    data class AnswerLost(val entry: String) : OperatorFailure

    /** [entry] refused the request. */
    data class Refused(val entry: String, val status: Int, val error: String) : OperatorFailure
}
