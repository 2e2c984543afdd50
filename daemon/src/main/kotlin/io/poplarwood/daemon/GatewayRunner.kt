package io.poplarwood.daemon

import com.github.michaelbull.result.getOrElse
import io.poplarwood.gateway.log.GatewayLogging
import io.poplarwood.gateway.runtime.GatewayDaemon
import io.poplarwood.gateway.settings.GatewaySettingsReader
import io.poplarwood.platform.scheme.SchemeAdapter
import java.nio.file.Path

/** Runs a gateway on the platform until it is told to stop. */
object GatewayRunner {
    /** Runs it with the settings in [file]; false when they cannot be used, after a line to [fault] for each reason. */
    fun run(file: Path, fault: (String) -> Unit): Boolean {
        val settings = GatewaySettingsReader.read(file).getOrElse { faults ->
            faults.forEach { fault("$file: $it") }
            return false
        }
        GatewayLogging.enable()
        GatewayDaemon(settings, SchemeAdapter, file).run()
        return true
    }
}
