package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import io.poplarwood.entry.operator.OperatorClient
import java.nio.file.Files
import java.nio.file.Path

/** Options of commands that call the operators' API of entries. */
internal class OperatorOptions : OptionGroup() {
    private val entries by option("--entry", metavar = "HOST:PORT")
        .help("Operators' listener of an entry. Repeat the option to try further entries if one does not reply.")
        .convert { if (ADDRESS.matches(it)) it else fail("\"$it\" is not HOST:PORT") }
        .multiple(required = true)
    private val tokenFile: Path by option("--token-file", metavar = "FILE")
        .help("File with the bearer token, alone or after the operator's name.")
        .path(mustExist = true, canBeDir = false, mustBeReadable = true)
        .required()
    private val tls by option("--tls").help("Use TLS; the certificate must be trusted by this machine.").flag()

    fun client(): OperatorClient = OperatorClient(entries, token(), if (tls) "https" else "http")

    private fun token(): String {
        val line = Files.readAllLines(tokenFile).map { it.substringBefore('#').trim() }.firstOrNull { it.isNotEmpty() }
        return line?.substringAfterLast(' ') ?: throw UsageError("$tokenFile has no token", "--token-file")
    }

    private companion object {
        val ADDRESS = Regex("""(\[[0-9A-Fa-f:.]+]|[A-Za-z0-9.-]+):\d{1,5}""")
    }
}
