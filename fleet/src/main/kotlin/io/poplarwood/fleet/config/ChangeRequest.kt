package io.poplarwood.fleet.config

import io.poplarwood.api.work.ServiceDocument

/**
 * What an operator asks for.
 *
 * @property expectedVersion version the operator saw; 0 for a service without a document
 */
data class ChangeRequest(
    val changeId: String,
    val who: String,
    val document: ServiceDocument,
    val expectedVersion: Long,
)
