package io.poplarwood.fleet.message

import kotlinx.serialization.Serializable

/**
 * A reading of the head of the change log: every change that had been accepted [ageMs] milliseconds ago has a sequence
 * of at most [sequence].
 */
@Serializable
data class HeadReading(val sequence: Long, val ageMs: Long)
