package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.Context

internal class SwitchCommand(name: String, private val paused: Boolean) : OperatorCommand(name) {
    override fun help(context: Context) =
        if (paused) "Stops ejection and moves of capacity in the whole cell." else "Lets automation work again."

    override fun run() {
        val state = ask { it.automation(paused) }
        echo("automation is ${if (state.paused) "paused" else "running"}, sequence ${state.sequence}")
    }
}
