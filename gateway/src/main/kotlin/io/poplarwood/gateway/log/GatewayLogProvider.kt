package io.poplarwood.gateway.log

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.util.LogbackMDCAdapter
import org.slf4j.ILoggerFactory
import org.slf4j.IMarkerFactory
import org.slf4j.helpers.BasicMarkerFactory
import org.slf4j.spi.MDCAdapter
import org.slf4j.spi.SLF4JServiceProvider

/** SLF4J provider whose Logback is configured by [GatewayLogging], which avoids the slow search for a configuration. */
class GatewayLogProvider : SLF4JServiceProvider {
    private val context = LoggerContext()
    private val markerFactory = BasicMarkerFactory()
    private val mdc = LogbackMDCAdapter()

    override fun getLoggerFactory(): ILoggerFactory = context

    override fun getMarkerFactory(): IMarkerFactory = markerFactory

    override fun getMDCAdapter(): MDCAdapter = mdc

    override fun getRequestedApiVersion(): String = API_VERSION

    override fun initialize() {
        context.mdcAdapter = mdc
        GatewayLogging.configure(context)
        context.start()
    }

    private companion object {
        /** Newest SLF4J API version that this Logback supports. */
        const val API_VERSION = "2.0.99"
    }
}
