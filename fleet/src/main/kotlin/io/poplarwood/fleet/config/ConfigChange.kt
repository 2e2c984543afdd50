package io.poplarwood.fleet.config

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.work.ServiceDocument
import kotlinx.serialization.Serializable

/**
 * One operator's change of one document.
 *
 * @property version version of the document's row after the change
 * @property changeId unique identifier, by which an operator finds the change after a lost answer
 * @property who name of the operator, authenticated by the accepting entry
 * @property atMs wall-clock time at which the accepting entry wrote the change, milliseconds since the epoch
 * @property document the document; null in a row whose document is stored as an object
 * @property digest name of the object that holds the document; null when it is inline
 */
@Serializable
data class ConfigChange(
    val service: ServiceName,
    val version: Long,
    val changeId: String,
    val who: String,
    val atMs: Long,
    val document: ServiceDocument? = null,
    val digest: String? = null,
)
