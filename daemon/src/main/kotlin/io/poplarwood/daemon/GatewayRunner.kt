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
     * for each error to [reportError] and returns false.
     */
    fun run(file: Path, reportError: (String) -> Unit): Boolean {
        val settings = GatewaySettingsReader.read(file).getOrElse { errors ->
            errors.forEach { reportError("$file: $it") }
            return false
        }
        GatewayLogging.enable()
        GatewayDaemon(settings, SchemeAdapter, file).run()
        return true
    }
}
