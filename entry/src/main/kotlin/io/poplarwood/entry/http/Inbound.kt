package io.poplarwood.entry.http

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.decision.dispatch.Call

/**
 * A caller's request after its head was accepted.
 *
 * @property bodyLength declared length of the body; null when it comes in chunks, 0 when there is none
 * @property retryable whether this entry is the level that retries
 */
internal class Inbound(
    val service: ServiceName,
    val workClass: ClassSpec,
    val call: Call,
    val method: String,
    val target: String,
    val depth: Int,
    val rank: String,
    val bodyLength: Long?,
)
