package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.michaelbull.result.Result
import io.poplarwood.entry.operator.OperatorClient
import io.poplarwood.entry.operator.OperatorFailure

/** A command that asks an entry and ends with code 1 when it gets no answer. */
internal abstract class OperatorCommand(name: String) : CliktCommand(name) {
    private val operator by OperatorOptions()

    protected fun <T> ask(request: suspend (OperatorClient) -> Result<T, OperatorFailure>): T = ask(operator, request)
}
