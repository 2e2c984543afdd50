package io.poplarwood.gateway.load

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.decision.Placement
import io.poplarwood.gateway.decision.SlotQueue
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.IncarnationId
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.time.Duration

/** One entry of a [SharedUpstreams]. */
internal class ModelEntry(val name: EntryId, seed: Long) {
    val table = UpstreamTable().apply {
        for (i in 0 until SharedUpstreams.UPSTREAMS) put(upstream("u$i", SharedUpstreams.SLOTS), Duration.ZERO)
    }
    val placement = Placement(Zone("z1"), SplitMix(seed))
    val queue = SlotQueue(placement, table)

    /** By upstream: end of the time for which this entry was asked to send nothing. */
    val retryAfter = HashMap<String, Duration>()

    /** By upstream: requests that this entry sent within that time. */
    val earlyRequests = HashMap<String, Int>()

    /** By incarnation: when this entry passed on the first answer with the leaving mark. */
    val markedAt = HashMap<IncarnationId, Duration>()

    /** Upstreams whose number of requests in flight is about to be sent to the other entries. */
    val pendingUpdates = HashSet<String>()
}
