package io.poplarwood.fleet.config

import io.poplarwood.api.work.ServiceDocument

/**
 * A change of one document requested by an operator.
 *
 * @property expectedVersion version of the document that the operator changed; 0 for a service without a document
 */
data class ChangeRequest(
    val changeId: String,
    val who: String,
    val document: ServiceDocument,
    val expectedVersion: Long,
)
