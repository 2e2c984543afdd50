package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.michaelbull.result.Result
import io.poplarwood.entry.operator.OperatorClient
import io.poplarwood.entry.operator.OperatorFailure

/** A command that calls the operators' API of an entry, and ends with exit code 1 if the call fails. */
internal abstract class OperatorCommand(name: String) : CliktCommand(name) {
    private val operator by OperatorOptions()

    protected fun <T> call(request: suspend (OperatorClient) -> Result<T, OperatorFailure>): T = call(operator, request)
}
