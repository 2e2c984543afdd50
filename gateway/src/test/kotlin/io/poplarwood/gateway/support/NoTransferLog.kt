package io.poplarwood.gateway.support

import io.poplarwood.gateway.configuration.ConfigurationChange
import io.poplarwood.gateway.configuration.TransferLog
import kotlin.time.Duration

/** Records nothing. */
internal object NoTransferLog : TransferLog {
    override fun encoded(change: ConfigurationChange, bytes: Int, took: Duration) = Unit

    override fun sent(bytes: Int) = Unit

    override fun busy() = Unit

    override fun received(peer: String, change: ConfigurationChange, bytes: Int, took: Duration) = Unit

    override fun failed(peer: String, reason: String, took: Duration) = Unit
}
