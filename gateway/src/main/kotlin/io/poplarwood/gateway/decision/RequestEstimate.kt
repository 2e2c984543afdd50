package io.poplarwood.gateway.decision

import kotlin.time.Duration

/**
 * Cost of a request, as far as the choice of an upstream depends on it.
 *
 * @property work expected service time at an idle upstream of usual speed
 * @property bytes length of the request body
 */
internal class RequestEstimate(val serviceTime: Duration, val bodyBytes: Int)
