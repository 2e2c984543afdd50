package io.poplarwood.gateway.store

/** Reason why a call to the store returned no value. */
sealed interface StoreError {
    /** No answer within the timeout of the call, or no connection; a write may have been applied. */
    data object NoAnswer : StoreError

    /** The store refused the call with HTTP status [status]. */
    data class Refused(val status: Int) : StoreError

    /** The store no longer keeps the requested changes. */
    data object HistoryGone : StoreError

    /** The answer cannot be decoded. */
    data class Malformed(val detail: String) : StoreError
}
