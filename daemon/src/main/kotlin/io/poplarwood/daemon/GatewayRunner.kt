package io.poplarwood.daemon

import com.github.michaelbull.result.getOrElse
import io.poplarwood.gateway.log.GatewayLogging
import io.poplarwood.gateway.runtime.GatewayDaemon
import io.poplarwood.gateway.settings.GatewaySettingsReader
import io.poplarwood.platform.scheme.SchemeAdapter
import java.nio.file.Path

/** Runs a gateway that is connected to the platform. */
object GatewayRunner {
    /**
     * Runs a gateway with the settings in [file] until SIGTERM or SIGINT. If the settings are invalid, passes one line
     * for each error to [reportError]. A start that fails is logged.
     */
    fun run(file: Path, reportError: (String) -> Unit): GatewayEnd {
        val settings = GatewaySettingsReader.read(file).getOrElse { errors ->
            errors.forEach { reportError("$file: $it") }
            return GatewayEnd.BAD_SETTINGS
        }
        GatewayLogging.enable()
        val stopped = GatewayDaemon(settings, SchemeAdapter, file).run()
        return if (stopped) GatewayEnd.STOPPED else GatewayEnd.START_FAILED
    }
}
