package io.poplarwood.standins.platform

import kotlinx.serialization.Serializable

/**
 * Faults of the stand-in platform; the default value has none.
 *
 * @property down every operation is refused and nothing is applied
 * @property slowMs delay before each operation takes effect, in milliseconds
 * @property loseAnswers the next writes, this many, are applied and their answers are lost
 * @property throttle every operation is asked to slow down
 * @property listLagMs age of the VM list that is handed out, in milliseconds
 */
@Serializable
data class PlatformFaults(
    val down: Boolean = false,
    val slowMs: Long = 0,
    val loseAnswers: Int = 0,
    val throttle: Boolean = false,
    val listLagMs: Long = 0,
)
