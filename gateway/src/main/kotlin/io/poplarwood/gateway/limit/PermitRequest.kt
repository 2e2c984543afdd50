package io.poplarwood.gateway.limit

import kotlin.time.Duration

/**
 * A request of [asker] for permits.
 *
 * @property priority rank of the most urgent request that waits for a permit, 0 is the most urgent
 * @property count number of permits that are still to be issued
 * @property waitsSince when the asker first asked for these permits
 * @property renewedAt when the asker asked for them last
 */
internal data class PermitRequest(
    val asker: String,
    val priority: Int,
    val count: Int,
    val waitsSince: Duration,
    val renewedAt: Duration = waitsSince,
)
