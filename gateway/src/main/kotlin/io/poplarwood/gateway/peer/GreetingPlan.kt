package io.poplarwood.gateway.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Whom an entry greets, and how often, so that the greetings of an entry do not grow with the number of entries.
 *
 * Entries that take callers greet all of their zone and those that take callers elsewhere; any other entry greets those
 * that take its zone's callers. The rest is greeted in turn, a few at a time, so that entries that were cut off from
 * each other meet again. An entry that hears nobody who takes its zone's callers greets the whole zone.
 */
internal class GreetingPlan(private val zone: String, private val peers: PeerTable, private val roles: ActiveSet) {
    private var turn = 0

    /** Whether this entry greets more than those that take its zone's callers. */
    val wide: Boolean get() = roles.active || roles.leads.isEmpty()

    /** The greetings that are due now. */
    fun next(): List<Greeting> {
        if (!wide) return listOf(Greeting(roles.leads.map { it.record.peers }, STANDBY, withLoad = true))
        val (near, far) = peers.all.partition { it.record.zone == zone }
        val (busyNear, idleNear) = near.partition { it.active }
        val busyFar = far.filter(::takesCallers) + presumed(far)
        val rest = far - busyFar.toSet()
        return listOf(
            Greeting(addresses(busyNear + busyFar), ACTIVE, withLoad = true),
            Greeting(addresses(idleNear), ACTIVE, withLoad = false),
            Greeting(addresses(inTurn(rest)), circle(rest.size), withLoad = false),
        ).filter { it.to.isNotEmpty() }
    }

    /** It took callers when it was last heard, even if it is silent now. */
    private fun takesCallers(row: PeerRow) = row.active || row.hello?.active ?: false

    /** Entries of zones of which none that takes callers is known, the likeliest ones. */
    private fun presumed(far: List<PeerRow>): List<PeerRow> =
        far.groupBy { it.record.zone }.values.filter { rows -> rows.none(::takesCallers) }
            .flatMap { rows ->
                rows.sortedWith(compareBy(ActiveChoice.ORDER) { it.standing() }).take(ActiveChoice.FEWEST)
            }

    private fun inTurn(rest: List<PeerRow>): List<PeerRow> {
        if (rest.isEmpty()) return emptyList()
        val from = turn % rest.size
        turn = from + AT_A_TIME
        return List(minOf(AT_A_TIME, rest.size)) { rest[(from + it) % rest.size] }
    }

    private fun circle(count: Int): Duration = ACTIVE * (count / AT_A_TIME + 1)

    private fun addresses(rows: List<PeerRow>) = rows.map { it.record.peers }

    companion object {
        /** Time between two greetings of an entry that takes callers. */
        val ACTIVE: Duration = PeerMessage.FIRST_EVERY_MS.milliseconds

        /** Time between two greetings of an entry that takes none. */
        val STANDBY: Duration = 1.seconds
        private const val AT_A_TIME = 4
    }
}
