package io.poplarwood.gateway.upstream

import io.poplarwood.api.id.EntryId
import kotlin.time.Duration

/** State of one upstream at this entry. Times are readings of the entry's ticker. */
internal class UpstreamRow(
    record: Upstream,
    now: Duration,
) {
    /** Latest registration of the upstream. */
    var record: Upstream = record
        private set

    /** Requests of this entry that are in flight at the upstream. */
    var ownInFlight: Int = 0

    /** Requests of other entries that are in flight at the upstream, as these entries reported them. */
    private val inFlightByEntry = HashMap<EntryId, Int>()
    private var othersInFlight = 0

    /** Requests of all entries that are in flight at the upstream. */
    val inFlight: Int get() = ownInFlight + othersInFlight

    /** Latest known slowness as a multiple of the usual service time, and when it was reported. */
    var slowness: Double = 1.0
    var slownessAt: Duration = -Duration.INFINITE

    private val slownessHistory = SlownessHistory()

    /** When the upstream was last probed for its load, and the smoothed duration of such a probe. */
    var probedAt: Duration = -Duration.INFINITE
    var probeDuration: Duration = Duration.ZERO

    /** Whether the upstream may receive work. */
    val availability = Availability().also { it.apply(registration(record), now) }

    /** Rate limit that the upstream names for all entries together, and what they sent lately. */
    var limit = UpstreamLimit()
    val recentSends = RecentSends()

    /** Smoothed share of attempts that failed or were shed, weighted by their age in attempts. */
    var failureRate: Double = 0.0

    var lastAnswerAt: Duration = -Duration.INFINITE

    val id: String get() = record.id
    val incarnation = IncarnationId(record.id, record.startMs)

    /**
     * Start of this incarnation, in milliseconds since the epoch, if it announced that it is draining; null otherwise.
     */
    val drainingIncarnation: Long? get() = record.startMs.takeIf { availability.announcedDraining }
    val freeSlots: Int get() = record.slots - inFlight

    /** Applies a newer registration of the same incarnation. */
    fun update(next: Upstream, now: Duration) {
        record = next
        availability.apply(registration(next), now)
    }

    private fun registration(next: Upstream) = AvailabilityInput.Registered(next.draining, next.warmup)

    /** Sets the number of requests of [entry] that are in flight at the upstream. */
    fun setInFlightOf(entry: EntryId, count: Int) {
        val previous = if (count == 0) inFlightByEntry.remove(entry) else inFlightByEntry.put(entry, count)
        othersInFlight += count - (previous ?: 0)
    }

    /** Records a reported slowness. */
    fun recordSlowness(value: Double, now: Duration) {
        slowness = value
        slownessAt = now
        slownessHistory.add(value, now)
    }

    /** Slowness reported nearest to [time]; null when there was no report close to it. */
    fun slownessNear(time: Duration): Double? = slownessHistory.nearestTo(time)
}
