package io.poplarwood.gateway.relay

import io.netty.handler.codec.http.HttpHeaders

/**
 * The headers of requests between entries. Names and values are this project's own.
 *
 * The attempts that are left come first among the values of their header, the upstreams that have the request follow.
 * Builds that do not know of the upstreams read the first value and remove the header; a header of its own would pass
 * them as one of the caller's, to the upstream.
 */
internal object RelayHeaders {
    private const val FINGERPRINT = "relay-fingerprint"
    private const val ATTEMPTS_LEFT = "relay-attempts-left"
    private const val HEXADECIMAL = 16

    /** Leaves most of what a receiver accepts as headers to those of the caller. */
    private const val MAX_UPSTREAM_CHARS = 1_024

    /** Whether [hop] is small enough to be passed on. */
    fun canCarry(hop: Hop): Boolean = hop.sentTo.sumOf { it.length } <= MAX_UPSTREAM_CHARS

    /** The headers that carry [hop], each with its values. */
    fun of(hop: Hop): Map<String, List<String>> = mapOf(
        FINGERPRINT to listOf(java.lang.Long.toHexString(hop.fingerprint)),
        ATTEMPTS_LEFT to listOf(hop.attemptsLeft.toString()) + hop.sentTo,
    )

    /** Removes the headers of a hop from [headers] and returns it; null when they are missing or malformed. */
    fun take(headers: HttpHeaders): Hop? {
        val fingerprint = headers[FINGERPRINT]?.toULongOrNull(HEXADECIMAL)?.toLong()
        val attemptsLeft = headers[ATTEMPTS_LEFT]?.toIntOrNull()?.takeIf { it > 0 }
        val sentTo = headers.getAll(ATTEMPTS_LEFT).drop(1).toSet()
        headers.remove(FINGERPRINT)
        headers.remove(ATTEMPTS_LEFT)
        return if (fingerprint == null || attemptsLeft == null) null else Hop(fingerprint, attemptsLeft, sentTo)
    }
}
