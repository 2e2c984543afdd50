package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.poplarwood.cli.CommandLine
import io.poplarwood.entry.operator.OperatorClient
import io.poplarwood.entry.operator.OperatorFailure
import kotlinx.coroutines.runBlocking

/** A command that asks an entry and ends with code 1 when it gets no answer. */
internal abstract class OperatorCommand(name: String) : CliktCommand(name) {
    private val operator by OperatorOptions()

    protected fun <T> ask(request: suspend (OperatorClient) -> Result<T, OperatorFailure>): T {
        val result = operator.client().use { client -> runBlocking { request(client) } }
        return result.getOrElse { fail(describe(it)) }
    }

    protected fun fail(message: String): Nothing {
        echo(message, err = true)
        throw ProgramResult(CommandLine.FAILED)
    }

    private fun describe(failure: OperatorFailure): String = when (failure) {
        is OperatorFailure.Unreachable -> "no entry answered; tried ${failure.tried.joinToString()}"
        is OperatorFailure.AnswerLost ->
            "the answer of ${failure.entry} was lost; the change may have been made, see `classes history`"
        is OperatorFailure.Refused -> "${failure.entry} answered ${failure.status}: ${failure.error}"
    }
}
