package io.poplarwood.entry.operator

import io.poplarwood.api.work.ServiceDocument

/**
 * A change of a service document that an operator requests.
 *
 * @property expectedVersion version that the operator saw last; 0 for a service without a document
 * @property waitUntilInForce whether to respond only once the change is in force at every entry, or a time limit passes
 * @property operatorName name that belongs to the operator's token
 */
data class OperatorChangeRequest(
    val document: ServiceDocument,
    val expectedVersion: Long,
    val waitUntilInForce: Boolean,
    val operatorName: String,
)
