package io.poplarwood.bench.load

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/**
 * How the requests of one class fared. Times run from the planned arrival, so that a stalled generator shows.
 *
 * @property refused answers `not-run` by reason
 * @property unknown answers `unknown` and connections lost towards the entry, by reason
 * @property failed answers `failed` and server errors, by reason
 * @property wrong answers that were not whole or belonged to another request
 * @property targetMet whether the target's part was served in its time; null without a target
 * @property refusedTokens requests answered `not-run`, by their tokens
 */
@Serializable
data class LoadReport(
    val name: String,
    val sent: Long,
    val served: Long,
    val refused: Map<String, Long>,
    val unknown: Map<String, Long>,
    val failed: Map<String, Long>,
    val wrong: Long,
    val p50Ms: Double,
    val p99Ms: Double,
    val p999Ms: Double,
    val servedInTimePart: Double?,
    val targetMet: Boolean?,
    @Transient val refusedTokens: Set<String> = emptySet(),
)
