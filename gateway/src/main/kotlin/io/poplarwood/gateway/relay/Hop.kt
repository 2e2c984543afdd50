package io.poplarwood.gateway.relay

/**
 * What an entry that cannot reach upstreams passes on with a request that it sends by way of another entry.
 *
 * @property fingerprint fingerprint of the request at the first entry, which knows its caller
 * @property attemptsLeft number of upstreams that the request may still be sent to
 * @property sentTo ids of the upstreams that the request was sent to, which may not get it again
 */
internal data class Hop(val fingerprint: Long, val attemptsLeft: Int, val sentTo: Set<String> = emptySet())
