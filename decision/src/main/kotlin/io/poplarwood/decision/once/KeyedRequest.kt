package io.poplarwood.decision.once

/**
 * A request that carries a key.
 *
 * @property key text of the header `Idempotency-Key`
 * @property scope keeps equal keys of different services apart
 * @property fingerprint identifies the request: method, path and, when known, body
 * @property claim set on a request that another entry forwarded after it found this claim of the key
 * @property forwarded whether a peer sent it; it is never forwarded again
 */
data class KeyedRequest(
    val key: String,
    val scope: String,
    val fingerprint: Long,
    val claim: IssuedKey? = null,
    val forwarded: Boolean = false,
)
