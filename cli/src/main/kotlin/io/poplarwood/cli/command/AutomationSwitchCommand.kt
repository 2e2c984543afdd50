package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.Context

internal class AutomationSwitchCommand(name: String, private val paused: Boolean) : OperatorCommand(name) {
    override fun help(context: Context) =
        if (paused) "Pauses ejection and moves of capacity in the whole cell." else "Resumes automation."

    override fun run() {
        val state = call { it.automation(paused) }
        echo("automation is ${if (state.paused) "paused" else "running"}, sequence ${state.sequence}")
    }
}
