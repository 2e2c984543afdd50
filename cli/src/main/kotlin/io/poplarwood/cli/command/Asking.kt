package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.poplarwood.cli.CommandLine
import io.poplarwood.entry.operator.OperatorClient
import io.poplarwood.entry.operator.OperatorFailure
import kotlinx.coroutines.runBlocking

/** The answer of an entry to [request]; ends the command with code 1 when there is none. */
internal fun <T> CliktCommand.ask(
    operator: OperatorOptions,
    request: suspend (OperatorClient) -> Result<T, OperatorFailure>,
): T {
    val result = operator.client().use { client -> runBlocking { request(client) } }
    return result.getOrElse { fail(describe(it)) }
}

/** Ends the command with code 1 and [message]. */
internal fun CliktCommand.fail(message: String): Nothing {
    echo(message, err = true)
    throw ProgramResult(CommandLine.FAILED)
}

private fun describe(failure: OperatorFailure): String = when (failure) {
    is OperatorFailure.Unreachable -> "no entry answered; tried ${failure.tried.joinToString()}"
    is OperatorFailure.AnswerLost ->
        "the answer of ${failure.entry} was lost; the change may have been made, see `classes history`"
    is OperatorFailure.Refused -> "${failure.entry} answered ${failure.status}: ${failure.error}"
}
