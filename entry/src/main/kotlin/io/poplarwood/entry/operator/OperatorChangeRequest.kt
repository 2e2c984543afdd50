package io.poplarwood.entry.operator

import io.poplarwood.api.work.ServiceDocument

/**
 * A change that an operator asks for.
 *
 * @property expectedVersion version that the operator saw; 0 for a service without a document
 * @property waitUntilInForce answer only when the change is in force everywhere
 * @property operatorName name of the operator's token
 */
data class OperatorChangeRequest(
    val document: ServiceDocument,
    val expectedVersion: Long,
    val waitUntilInForce: Boolean,
    val operatorName: String,
)
