package io.poplarwood.decision.once

/**
 * A request that carries an idempotency key.
 *
 * @property key text of the header `Idempotency-Key`
 * @property scope separates equal keys of different services
 * @property fingerprint identifies the request: method, path and, when known, body
 * @property claim claim of the key that another entry found before it forwarded the request; null otherwise
 * @property forwarded whether a peer sent the request; such a request is not forwarded again
 */
data class KeyedRequest(
    val key: String,
    val scope: String,
    val fingerprint: Long,
    val claim: IssuedKey? = null,
    val forwarded: Boolean = false,
)
