package io.poplarwood.daemon

import io.poplarwood.platform.standin.LinkRelay
import io.poplarwood.platform.standin.StandInCaller
import io.poplarwood.platform.standin.StandInCell
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Adds thousands of routes while the self-test runs and checks that all entries serve the last of them in time. An
 * entry with a small link to the store takes the change from the others.
 *
 * @param base routes that the configuration keeps
 */
internal class LargeChangeCheck(private val cell: StandInCell, private val base: List<String>) : AutoCloseable {
    private val link = LinkRelay(cell.store.address).apply { bitsPerSecond = SMALL_LINK_BITS_PER_S }
    private val third = cell.startGateway("entry-3", storeAddress = link.address).second

    /**
     * Changes the configuration to [version] and waits until [others] and the entry with the small link serve it.
     *
     * @throws IllegalStateException if an entry does not serve it in time
     */
    fun run(version: Int, others: List<String>) {
        val routes = List(ROUTES) { StandInCell.routeJson("/v$version/route/$it/") }
        cell.putDesiredState(version, *(base + routes).toTypedArray())
        val from = System.nanoTime()
        for (address in others + third.listen.callers) {
            while (!serves(address, "/v$version/route/${ROUTES - 1}/x")) {
                val elapsed: Duration = (System.nanoTime() - from).nanoseconds
                check(elapsed < BOUND) { "an entry does not serve a change of $ROUTES routes after $elapsed" }
                Thread.sleep(PAUSE_MS)
            }
        }
    }

    private fun serves(address: String, path: String) =
        StandInCaller(address).use { it.call("GET", path, "large-change") }.status == OK

    override fun close() = link.close()

    private companion object {
        const val ROUTES = 1_900
        const val SMALL_LINK_BITS_PER_S = 7e6
        const val OK = 200
        const val PAUSE_MS = 50L

        /** Time in which a change has to be in force everywhere at the target size. */
        val BOUND = 9.seconds
    }
}
