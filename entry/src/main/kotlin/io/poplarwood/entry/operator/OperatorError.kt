package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** JSON body of an error response of the operators' API. */
@Serializable
data class OperatorError(val error: String)
