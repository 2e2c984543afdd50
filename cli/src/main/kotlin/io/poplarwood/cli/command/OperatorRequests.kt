package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.poplarwood.cli.CommandLine
import io.poplarwood.entry.operator.OperatorClient
import io.poplarwood.entry.operator.OperatorFailure
import kotlinx.coroutines.runBlocking

/** Runs [request] and returns the result. Prints a failure and ends the command with exit code 1. */
internal fun <T> CliktCommand.call(
    operator: OperatorOptions,
    request: suspend (OperatorClient) -> Result<T, OperatorFailure>,
): T {
    val result = operator.client().use { client -> runBlocking { request(client) } }
    return result.getOrElse { fail(describe(it)) }
}

/** Prints [message] on standard error and ends the command with exit code 1. */
internal fun CliktCommand.fail(message: String): Nothing {
    echo(message, err = true)
    throw ProgramResult(CommandLine.FAILED)
}

private fun describe(failure: OperatorFailure): String = when (failure) {
    is OperatorFailure.Unreachable -> "no entry answered; tried ${failure.tried.joinToString()}"
    is OperatorFailure.AnswerLost ->
        "the reply of ${failure.entry} was lost; the change may have been made, see `classes history`"
    is OperatorFailure.Refused -> "${failure.entry} replied ${failure.status}: ${failure.error}"
}
