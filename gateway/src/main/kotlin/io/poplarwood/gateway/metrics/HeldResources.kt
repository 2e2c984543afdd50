package io.poplarwood.gateway.metrics

/**
 * What requests hold from their receipt to their final answer; all of it is zero while there is none.
 *
 * @property requests requests without a final answer
 * @property queued requests that wait for a slot
 * @property slots slots of upstreams that this entry has taken
 * @property attempts attempts that may be running at upstreams
 * @property relayed requests that are under way by way of other entries
 * @property requestBytes bytes reserved for bodies of requests
 * @property answerBytes bytes reserved for bodies of answers
 */
internal data class HeldResources(
    val requests: Int = 0,
    val queued: Int = 0,
    val slots: Int = 0,
    val attempts: Int = 0,
    val relayed: Int = 0,
    val requestBytes: Long = 0,
    val answerBytes: Long = 0,
)
