package io.poplarwood.bench.configurations

import io.poplarwood.api.time.Ticker
import io.poplarwood.platform.standin.StandInCell
import java.util.concurrent.CopyOnWriteArrayList

/** Writes versions of the configuration to the store of [cell]. Routes are added or changed, never removed. */
internal class ConfigurationChanges(private val cell: StandInCell, private val ticker: Ticker) {
    private val routes = ArrayList<String>()
    private val sent = CopyOnWriteArrayList<SentVersion>()

    /** The version that the store has now. */
    val newest: SentVersion get() = sent.last()

    /** All versions, oldest first. */
    val all: List<SentVersion> get() = sent

    /** Adds [count] routes. */
    fun add(count: Int) {
        val version = sent.size + 1
        repeat(count) { routes += StandInCell.routeJson(path(version, it)) }
        send(version, path(version, count - 1))
    }

    /** Changes nine routes at the places [places] (0 to 1) and adds one. */
    fun change(places: List<Double>) {
        val version = sent.size + 1
        for (place in places) {
            val index = (place * routes.size).toInt()
            val prefix = routes[index].substringAfter("\"prefix\":\"").substringBefore('"')
            routes[index] = StandInCell.routeJson(prefix, targetS = TARGET_S + version * TARGET_STEP_S)
        }
        routes += StandInCell.routeJson(path(version, 0))
        send(version, path(version, 0))
    }

    /** Writes the newest version again, since the store has lost it. */
    fun writeAgain() = write(newest.number, newest.service)

    /**
     * The version by which a request has to be handled that is sent at [sentNs]; null when a newer one was sent so
     * lately that either is right.
     */
    fun settled(sentNs: Long): SentVersion? = newest.takeIf { sentNs - it.sentNs > ConfigurationsBench.BOUND_NS }

    private fun send(version: Int, newestRoute: String) {
        val service = if (version % 2 == 0) "s2" else "s1"
        write(version, service)
        sent += SentVersion(version, ticker.nowNs, "${newestRoute}x", service)
    }

    private fun write(version: Int, service: String) =
        cell.putDesiredState(version, StandInCell.routeJson(OLD_ROUTE, service = service), *routes.toTypedArray())

    private fun path(version: Int, number: Int) = "/v$version/some/longer/prefix/of/a/route/$number/"

    companion object {
        /** Prefix of the route that all versions have; its service changes with each version. */
        const val OLD_ROUTE = "/old/"
        private const val TARGET_S = 0.5
        private const val TARGET_STEP_S = 0.001
    }
}
