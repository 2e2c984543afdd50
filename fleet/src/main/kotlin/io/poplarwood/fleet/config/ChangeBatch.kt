package io.poplarwood.fleet.config

import kotlinx.serialization.Serializable

/**
 * The changes of one table transaction, in row `change/<sequence>`.
 *
 * @property batchId unique identifier of the transaction
 * @property view the view that the transaction wrote; null when it wrote none
 */
@Serializable
data class ChangeBatch(
    val sequence: Long,
    val batchId: String,
    val changes: List<ConfigChange>,
    val view: FleetView? = null,
)
