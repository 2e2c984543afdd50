package io.poplarwood.gateway.store

import kotlin.time.Duration

/**
 * Age of the configuration in force at one moment.
 *
 * @property staleness time since it was certain that the store has no version beyond those received; infinite when it
 * never was
 * @property newerKnown whether a newer version than the one in force is known, readable or not
 * @property overtakenSince when this entry first heard of a version that it has not received and that is in force at
 * another entry; null when there is none
 */
internal data class ConfigurationAge(
    val staleness: Duration,
    val newerKnown: Boolean,
    val overtakenSince: Duration?,
) {
    /** [staleness] in milliseconds, for the log; null when it is infinite. */
    val stalenessMs: Long? get() = staleness.takeIf { it.isFinite() }?.inWholeMilliseconds
}
