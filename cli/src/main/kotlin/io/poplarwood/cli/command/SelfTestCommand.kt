package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.terminal
import io.poplarwood.gateway.log.GatewayLogging
import io.poplarwood.gateway.settings.GatewaySettings
import io.poplarwood.platform.standin.StandInCaller
import io.poplarwood.platform.standin.StandInCell
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import sun.misc.Signal
import java.nio.file.Files
import kotlin.concurrent.thread

internal class SelfTestCommand : CliktCommand("selftest") {
    override fun help(context: Context) =
        "Runs two gateways, one of them as a process would, against a stand-in store and stand-in upstreams on " +
            "loopback, and checks that requests are answered. The build runs it to record the classes of a start."

    override fun run() {
        GatewayLogging.enable()
        StandInCell(graceS = STOP_S).use { cell ->
            cell.desire(1, StandInCell.routeOf("/read/"), StandInCell.routeOf("/write/", StandInCell.ONCE, "s2"))
            for (i in 1..3) cell.upstream("u$i")
            for (i in 4..5) cell.upstream("u$i", service = "s2")
            val daemon = runAsProcess(cell.settings("entry-2"))
            val (first, settings) = cell.gateway("entry-1")
            val served = (1..REQUESTS).count { ask(settings.listen.callers, it) }
            Signal.raise(Signal("TERM"))
            daemon.join()
            runBlocking { first.stop() }
            GatewayLogging.flush()
            terminal.println("selftest: $served of $REQUESTS requests answered", stderr = true)
            if (served < REQUESTS) throw CliktError("requests were not answered")
        }
    }

    private fun runAsProcess(settings: GatewaySettings): Thread {
        val file = Files.createTempFile("poplarwood", ".jsonc")
        Files.writeString(file, Json.encodeToString(GatewaySettings.serializer(), settings))
        val command = GatewayCommand()
        return thread {
            command.parse(listOf("--settings", "$file"))
            Files.delete(file)
        }
    }

    private fun ask(address: String, number: Int): Boolean = StandInCaller(address).use { caller ->
        val read = caller.call("GET", "/read/$number", "r$number").status
        val written = caller.call("POST", "/write/$number", "w$number", body = "order").status
        read == OK && written == OK
    }

    private companion object {
        const val OK = 200
        const val REQUESTS = 300
        const val STOP_S = 0.5
    }
}
