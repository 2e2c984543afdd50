package io.poplarwood.fleet.config

import io.poplarwood.api.id.EntryRef
import kotlin.time.Duration

/** A committed batch that is being distributed to all entries. */
internal class Rollout(val batch: ChangeBatch, val changeIds: List<String>, val committedAt: Duration) {
    val acknowledged = HashSet<EntryRef>()
    var acceptedAt: Duration? = null
    var pushedAt: Duration = committedAt

    /** True once the result [ChangeResult.Unconfirmed] has been emitted. */
    var unconfirmed = false
}
