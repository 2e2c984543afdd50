package io.poplarwood.gateway.upstream

import io.poplarwood.api.id.EntryId
import kotlin.time.Duration

/** State of one upstream at this entry. Times are readings of the entry's ticker. */
internal class UpstreamRow(
    record: Upstream,
    now: Duration,
) {
    /** What the upstream registered last. */
    var record: Upstream = record
        private set

    /** Requests of this entry that it holds. */
    var ownInFlight: Int = 0

    /** Requests of other entries that it holds, as they told. */
    private val inFlightByEntry = HashMap<EntryId, Int>()
    private var othersInFlight = 0

    /** Requests that all entries together have there. */
    val inFlight: Int get() = ownInFlight + othersInFlight

    /** Last known slowness and when it was learnt. */
    var slowness: Double = 1.0
    var slownessAt: Duration = -Duration.INFINITE

    private val slownessHistory = SlownessHistory()

    /** When it was last asked for its load, and how long an answer to that takes. */
    var probedAt: Duration = -Duration.INFINITE
    var probeTook: Duration = Duration.ZERO

    /** Whether it may get work. */
    val availability = Availability().also { it.take(registration(record), now) }

    /** Recent share of attempts that failed or were shed, each weighted by its age in attempts. */
    var failureRate: Double = 0.0

    var lastAnswerAt: Duration = -Duration.INFINITE

    val id: String get() = record.id

    /** When this life began, if it is known to leave; null else. */
    val leavingBorn: Long? get() = record.born.takeIf { availability.leaving }
    val freeSlots: Int get() = record.slots - inFlight

    /** Takes over a newer registration of the same life. */
    fun update(next: Upstream, now: Duration) {
        record = next
        availability.take(registration(next), now)
    }

    private fun registration(next: Upstream) = AvailabilityInput.Registered(next.draining, next.warmup)

    /** Notes how many requests [entry] has here. */
    fun setOther(entry: EntryId, count: Int) {
        val previous = if (count == 0) inFlightByEntry.remove(entry) else inFlightByEntry.put(entry, count)
        othersInFlight += count - (previous ?: 0)
    }

    /** Notes a report of slowness. */
    fun noteSlowness(value: Double, now: Duration) {
        slowness = value
        slownessAt = now
        slownessHistory.add(value, now)
    }

    /** How slow it was about [time], as far as it told shortly before or after; null when it did not. */
    fun slownessNear(time: Duration): Double? = slownessHistory.nearestTo(time)
}
