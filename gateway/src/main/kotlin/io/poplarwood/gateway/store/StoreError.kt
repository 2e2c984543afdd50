package io.poplarwood.gateway.store

/** Why a call to the store gave no value. */
sealed interface StoreError {
    /** No answer within the call's timeout, or none at all; a write may have been applied. */
    data object NoAnswer : StoreError

    /** The store did not take the call. [status] is what it answered. */
    data class Refused(val status: Int) : StoreError

    /** The changes asked for are no longer kept. */
    data object HistoryGone : StoreError

    /** The answer cannot be read. */
    data class Malformed(val detail: String) : StoreError
}
