package io.poplarwood.entry.http

import io.poplarwood.api.http.Headers
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.entry.forward.OutboundRequest
import io.poplarwood.entry.forward.RequestBody
import kotlin.time.Duration

/** The request to send to the upstream of [dispatch]: [endToEndHeaders] and the headers that this entry sets. */
internal fun InboundRequest.toOutbound(
    dispatch: Command.Dispatch,
    endToEndHeaders: List<Pair<String, String>>,
    host: String,
    body: RequestBody,
    now: Duration,
): OutboundRequest {
    val remaining = (call.deadline - now).inWholeMilliseconds.coerceAtLeast(0)
    val headers = ArrayList<Pair<String, String>>(endToEndHeaders)
    headers += Headers.SERVICE to service.value
    headers += Headers.CLASS to workClass.name.value
    headers += Headers.DEADLINE_MS to remaining.toString()
    headers += Headers.DEPTH to (depth + 1).toString()
    headers += Headers.RETRY to "no"
    headers += Headers.RANK to rank
    headers += Headers.REQUEST_ID to call.request.value
    return OutboundRequest(
        address = dispatch.upstream.address,
        method = method,
        target = target,
        host = host,
        headers = headers,
        body = body,
        recentConnectionOnly = !call.idempotent,
        latencyKey = "$service/${workClass.name}",
        deadline = call.deadline,
    )
}
