package io.poplarwood.api.platform

/** Why an operation on the platform did not give a value. */
sealed interface StoreFailure {
    /** The service is down or did not accept the operation; nothing was applied. */
    data object Unavailable : StoreFailure

    /** The answer was lost; a write may have been applied. */
    data object AnswerLost : StoreFailure

    /** The service asked to slow down; nothing was applied. */
    data object Throttled : StoreFailure

    /** A condition of a transaction did not hold; nothing was applied. [key] is the first row that differed. */
    data class Conflict(val key: String, val current: Long?) : StoreFailure

    /** The service answered something that the adapter does not understand. */
    data class Malformed(val detail: String) : StoreFailure
}
