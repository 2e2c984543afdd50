package io.poplarwood.fleet.config

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.work.ServiceDocument
import kotlinx.serialization.Serializable

/**
 * One operator's change of one document.
 *
 * @property version version of the document's row after the change
 * @property changeId unique identifier by which a lost answer is settled
 * @property who operator as the entry authenticated it
 * @property atMs wall-clock time of acceptance at the accepting entry, milliseconds since the epoch
 * @property document the document; null in a table row whose document is an object
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
