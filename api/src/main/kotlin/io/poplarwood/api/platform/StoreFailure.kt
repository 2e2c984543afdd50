package io.poplarwood.api.platform

/** Why an operation on a platform store failed. */
sealed interface StoreFailure {
    /** The store is down or did not accept the operation; nothing was applied. */
    data object Unavailable : StoreFailure

    /** The response was lost; a write may have been applied. */
    data object AnswerLost : StoreFailure

    /** The store throttled the operation; nothing was applied. */
    data object Throttled : StoreFailure

    /**
     * A write found another version or content than expected; nothing was applied.
     *
     * @property key first row, or object, in conflict
     * @property current version found there; null when the row does not exist
     */
    data class Conflict(val key: String, val current: Long?) : StoreFailure

    /** The adapter could not parse the response of the store. */
    data class Malformed(val detail: String) : StoreFailure
}
