package io.poplarwood.gateway.load

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.decision.Placement
import io.poplarwood.gateway.decision.SlotQueue
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.time.Duration

/** One entry of a [SharedCell]. */
internal class ModelEntry(val name: EntryId, seed: Long) {
    val table = UpstreamTable().apply {
        for (i in 0 until SharedCell.UPSTREAMS) put(upstream("u$i", SharedCell.SLOTS), Duration.ZERO)
    }
    val placement = Placement(Zone("z1"), SplitMix(seed))
    val queue = SlotQueue(placement, table)

    /** Until when each upstream asked this entry for nothing, and requests that reached it all the same. */
    val asked = HashMap<String, Duration>()
    val early = HashMap<String, Int>()

    /** Upstreams of which something is to be told. */
    val untold = HashSet<String>()
}
