package io.poplarwood.decision.once

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Bounds of a [KeyTable].
 *
 * @property lifetime time after its issue for which a key is accepted
 * @property maxClockLead time by which the issuer's clock may be ahead of the owner's
 * @property maxRecords records held; beyond them, new keys are refused with `not-run`
 * @property maxAnswerBytes bytes of stored responses; beyond them, the oldest responses are dropped but their records
 *   stay
 */
data class KeyTableSettings(
    val lifetime: Duration = 10.minutes,
    val maxClockLead: Duration = 1.minutes,
    val maxRecords: Int = 100_000,
    val maxAnswerBytes: Long = 8L shl 20,
)
