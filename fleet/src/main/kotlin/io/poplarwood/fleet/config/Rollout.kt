package io.poplarwood.fleet.config

import io.poplarwood.api.id.EntryRef
import kotlin.time.Duration

/** A committed batch on its way to all entries. */
internal class Rollout(val batch: ChangeBatch, val changeIds: List<String>, val committedAt: Duration) {
    val acknowledged = HashSet<EntryRef>()
    var acceptedAt: Duration? = null
    var pushedAt: Duration = committedAt
    var unconfirmed = false
}
