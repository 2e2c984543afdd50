package io.poplarwood.gateway.configuration

import kotlin.time.Duration

/** Records the transfers of configuration changes between entries, for logs and metrics. */
internal interface TransferLog {
    /** A change was encoded in [took]; its pieces have [bytes] together. */
    fun encoded(change: ConfigurationChange, bytes: Int, took: Duration)

    /** A piece of [bytes] was sent to a peer. */
    fun sent(bytes: Int)

    /** A peer was told to ask elsewhere. */
    fun busy()

    /** A change was received from [peer] and decoded. */
    fun received(peer: String, change: ConfigurationChange, bytes: Int, took: Duration)

    /** A peer did not send a piece in time, or sent one that cannot be used. */
    fun failed(peer: String, reason: String, took: Duration)
}
