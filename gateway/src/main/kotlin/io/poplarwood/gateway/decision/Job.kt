package io.poplarwood.gateway.decision

import kotlin.time.Duration

/**
 * What placing a request takes into account of it.
 *
 * @property work time that it takes at an idle upstream of usual speed
 * @property bytes length of its body
 */
internal class Job(val work: Duration, val bytes: Int)
