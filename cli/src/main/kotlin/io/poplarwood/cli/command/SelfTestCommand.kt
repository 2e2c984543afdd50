package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.terminal
import io.poplarwood.daemon.SelfTest

internal class SelfTestCommand : CliktCommand("selftest") {
    override fun help(context: Context) =
        "Runs two gateways, one of them stopped by SIGTERM, against a stand-in store and stand-in upstreams on " +
            "loopback, and checks that requests are served."

    override fun run() {
        val served = SelfTest.run()
        terminal.println("selftest: $served of ${SelfTest.REQUESTS} requests answered", stderr = true)
        if (served < SelfTest.REQUESTS) throw CliktError("some requests were not served")
    }
}
