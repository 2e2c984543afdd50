package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/**
 * One change of a service's classes.
 *
 * @property atMs wall-clock time of the change, in milliseconds since the Unix epoch
 * @property inForceMs time from the change until every entry had it in force, in milliseconds; null when unknown
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
