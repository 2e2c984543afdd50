package io.poplarwood.standins.platform

import kotlinx.serialization.Serializable

/** JSON form of a transaction. */
@Serializable
internal data class TransactionBody(val writes: List<WriteBody>)
