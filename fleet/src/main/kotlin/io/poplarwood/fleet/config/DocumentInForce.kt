package io.poplarwood.fleet.config

import io.poplarwood.api.work.ServiceDocument
import kotlinx.serialization.Serializable

/** The [document] of a service with the [version] of its row and the [sequence] of the change that wrote it. */
@Serializable
data class DocumentInForce(val document: ServiceDocument, val version: Long, val sequence: Long)
