package io.poplarwood.gateway.relay

import io.netty.handler.codec.http.HttpHeaders

/** The headers of requests between entries. Names and values are this project's own. */
internal object RelayHeaders {
    private const val FINGERPRINT = "relay-fingerprint"
    private const val ATTEMPTS_LEFT = "relay-attempts-left"
    private const val HEXADECIMAL = 16

    /** The headers that carry [hop]. */
    fun of(hop: Hop): Map<String, String> = mapOf(
        FINGERPRINT to java.lang.Long.toHexString(hop.fingerprint),
        ATTEMPTS_LEFT to hop.attemptsLeft.toString(),
    )

    /** Removes the headers of a hop from [headers] and returns it; null when they are missing or malformed. */
    fun take(headers: HttpHeaders): Hop? {
        val fingerprint = headers[FINGERPRINT]?.toULongOrNull(HEXADECIMAL)?.toLong()
        val attemptsLeft = headers[ATTEMPTS_LEFT]?.toIntOrNull()?.takeIf { it > 0 }
        headers.remove(FINGERPRINT)
        headers.remove(ATTEMPTS_LEFT)
        return if (fingerprint == null || attemptsLeft == null) null else Hop(fingerprint, attemptsLeft)
    }
}
