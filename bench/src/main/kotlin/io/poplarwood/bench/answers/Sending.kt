package io.poplarwood.bench.answers

/**
 * One sending of a request by a caller and what came back.
 *
 * @property sentNs when it was sent, as a reading of the bench's clock
 * @property status status of the answer; 0 when there was none
 * @property body body of the answer, as far as it is an upstream's
 */
internal class Sending(
    val id: String,
    val mayRunAgain: Boolean,
    val sentNs: Long,
    val endedNs: Long,
    val status: Int,
    val body: String,
)
