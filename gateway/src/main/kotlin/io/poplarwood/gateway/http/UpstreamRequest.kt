package io.poplarwood.gateway.http

import kotlin.time.Duration

/**
 * A request as it is sent to one upstream.
 *
 * @property deadline when its caller stops waiting, as a reading of the entry's ticker
 * @property expectedUpstream id of the only upstream that may run the request; null where another entry selects one
 * @property extraHeaders headers that are set besides those of the request, each with its values
 * @property maySend whether the request may still be sent; asked when its connection is open
 */
internal class UpstreamRequest(
    val request: CallerRequest,
    val deadline: Duration,
    val expectedUpstream: String?,
    val extraHeaders: Map<String, List<String>> = emptyMap(),
    val maySend: () -> Boolean = { true },
) {
    /**
     * Whether the request shares its connection with no other one. A late response could not be told from that to a
     * request without an id. The method of the request in flight decides whether a response has a body, so a late
     * response from before or after a HEAD request would be read wrongly.
     */
    val needsOwnConnection: Boolean get() = request.id == null || request.method == "HEAD"
}
