package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** Body of an answer that refuses an operator's request. */
@Serializable
data class OperatorError(val error: String)
