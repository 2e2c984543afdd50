package io.poplarwood.gateway.log

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.util.LogbackMDCAdapter
import org.slf4j.ILoggerFactory
import org.slf4j.IMarkerFactory
import org.slf4j.helpers.BasicMarkerFactory
import org.slf4j.spi.MDCAdapter
import org.slf4j.spi.SLF4JServiceProvider

/** Gives SLF4J a Logback that [GatewayLogging] has set up, without the search for a configuration, which takes long. */
class GatewayLogProvider : SLF4JServiceProvider {
    private val context = LoggerContext()
    private val markers = BasicMarkerFactory()
    private val mdc = LogbackMDCAdapter()

    override fun getLoggerFactory(): ILoggerFactory = context

    override fun getMarkerFactory(): IMarkerFactory = markers

    override fun getMDCAdapter(): MDCAdapter = mdc

    override fun getRequestedApiVersion(): String = API_VERSION

    override fun initialize() {
        context.mdcAdapter = mdc
        GatewayLogging.configure(context)
        context.start()
    }

    private companion object {
        /** Newest version of the interface that Logback is written for. */
        const val API_VERSION = "2.0.99"
    }
}
