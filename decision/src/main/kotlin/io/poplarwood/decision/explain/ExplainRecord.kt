package io.poplarwood.decision.explain

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.work.Rank
import kotlinx.serialization.Serializable

/**
 * The decisions about one request and their reasons.
 *
 * @property estimatedWaitMs wait that admission expected at arrival, in milliseconds
 * @property queuedAhead calls of the same class that were waiting at arrival
 * @property admittedBy why the latest attempt got its slot: its rank, or the guaranteed share of its class
 * @property outcome `completed`, `cancelled`, the wire name of a refusal reason, or null while undecided
 * @property retryAfterMs time named to the caller in a refusal, in milliseconds
 */
@Serializable
data class ExplainRecord(
    val request: RequestId,
    val service: ServiceName,
    val workClass: ClassName,
    val rank: Rank,
    val estimatedWaitMs: Double,
    val queuedAhead: Int,
    val attempts: List<AttemptRecord> = emptyList(),
    val admittedBy: AdmittedBy? = null,
    val outcome: String? = null,
    val retryAfterMs: Double? = null,
)
