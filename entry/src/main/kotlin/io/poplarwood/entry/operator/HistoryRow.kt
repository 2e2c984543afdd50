package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/**
 * One change of a service's classes.
 *
 * @property atMs wall-clock time of the change in milliseconds since the epoch
 * @property inForceMs time from the change until every entry had it, in milliseconds; null where that is not known
 */
@Serializable
data class HistoryRow(
    val sequence: Long,
    val service: String,
    val version: Long,
    val who: String,
    val atMs: Long,
    val inForceMs: Long? = null,
    val changeId: String,
)
