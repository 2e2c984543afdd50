package io.poplarwood.standins.platform

import kotlinx.serialization.Serializable

/**
 * Faults injected into the stand-in platform; none by default.
 *
 * @property down whether every operation is refused without being applied
 * @property slowMs delay before each operation takes effect, in milliseconds
 * @property loseAnswers number of upcoming writes that are applied but whose responses are lost
 * @property throttle whether every operation is throttled
 * @property listLagMs age of the returned VM list, in milliseconds
 */
@Serializable
data class PlatformFaults(
    val down: Boolean = false,
    val slowMs: Long = 0,
    val loseAnswers: Int = 0,
    val throttle: Boolean = false,
    val listLagMs: Long = 0,
)
