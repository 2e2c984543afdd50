package io.poplarwood.entry.operator

import io.poplarwood.api.work.ServiceDocument

/**
 * A change that an operator asks for.
 *
 * @property expectVersion version that the operator saw; 0 for a service without a document
 * @property wait answer only when the change is in force everywhere
 * @property who name of the operator's token
 */
data class OperatorChangeRequest(val document: ServiceDocument, val expectVersion: Long, val wait: Boolean, val who: String)
