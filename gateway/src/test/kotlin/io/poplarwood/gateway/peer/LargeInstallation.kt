package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.store.Topic
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * 136 entries in four zones and versions of a desired state with [initialRoutes] routes at first, in virtual time.
 * Observes when the versions are in force.
 *
 * @param mbit bandwidth of the link of an entry in Mbit/s, by its name
 */
internal class LargeInstallation(
    private val test: TestScope,
    private val initialRoutes: Int,
    seed: Long,
    mbit: (String) -> Double,
) {
    /** What was observed of a version: the last time after its writing at which an entry did not have it. */
    private class Progress(val writtenAt: Duration) {
        var active = Duration.ZERO
        var all = Duration.ZERO
        val late = LinkedHashSet<String>()
    }

    private class Allowance(private val until: Duration, private val whileActive: Boolean) {
        fun covers(now: Duration, active: Boolean) = now <= until && (whileActive || !active)
    }

    private val random = Random(seed)
    private val ticker = Ticker { test.testScheduler.currentTime.milliseconds }
    private val routes = ArrayList<Route>()
    private val progress = ArrayList<Progress>()
    private val newest = HashMap<SimulatedCluster.Entry, Long>()
    private val allowances = HashMap<String, Allowance>()
    private val wentBack = LinkedHashSet<String>()
    private var valueBytes = 0
    private val bandwidth = ZONES.flatMap { zone -> (1..PER_ZONE).map { "$zone-$it" } }.associateWith(mbit)
    val store = SimulatedStore()
    val cluster =
        SimulatedCluster(test.backgroundScope, ticker, store, ZONES, PER_ZONE, seed) { bandwidth.getValue(it) }

    /** Bytes of the lines of [count] routes. */
    fun sizeOf(count: Int): Int = routes.takeLast(count).sumOf { SimulatedCodec.line(it).length + 1 }

    /** Starts all entries, then limits their links. */
    suspend fun start() {
        for (id in listOf("u1", "u2", "u3")) store.put(Topic.UPSTREAMS, id, "ready")
        add(initialRoutes)
        cluster.start()
        delay(STARTUP_TIME)
        for (entry in cluster.entries) {
            cluster.links.bandwidth[entry.name] =
                (bandwidth.getValue(entry.name) * 1_000_000).toLong()
        }
        cluster.links.sentBytes.clear()
    }

    /** Writes a version with [count] further routes. */
    fun add(count: Int) {
        routes += SimulatedCodec.randomRoutes(count, random)
        write()
    }

    /** Writes a version in which the last [count] routes are replaced by others. */
    fun replace(count: Int) {
        repeat(count) { routes.removeLast() }
        add(count)
    }

    private fun write() {
        val version = progress.size + 1L
        val value = SimulatedCodec.encode(version, routes)
        valueBytes = value.length
        store.put(Topic.DESIRED_STATE, "c", value)
        progress += Progress(ticker.now())
    }

    /** Names of [count] entries drawn by seed, among them [including]. */
    fun draw(count: Int, including: List<String>): List<String> {
        val others = cluster.entries.map { it.name }.filter { it !in including }.shuffled(random)
        return (including + others.take(count - including.size)).shuffled(random)
    }

    /**
     * Kills the entry [name] and starts it again. It may be behind for [BOUND] and the time that the whole version
     * takes on its link, but may not take callers meanwhile.
     */
    fun restart(name: String) {
        val until = ticker.now() + DOWNTIME + BOUND + wholeTime(name)
        allowances[name] = Allowance(until, whileActive = false)
        test.backgroundScope.launch { cluster.restart(name, DOWNTIME) }
    }

    /** Lets the entry [name] be behind for [time] from now, even while it takes callers. */
    fun allow(name: String, time: Duration) {
        allowances[name] = Allowance(ticker.now() + time, whileActive = true)
    }

    /** Time that the whole version takes on the link of [name]. */
    fun wholeTime(name: String): Duration = cluster.links.transferTime(name, valueBytes)

    /** Observes all running entries for [time]. */
    suspend fun observe(time: Duration) {
        val until = ticker.now() + time
        while (ticker.now() < until) {
            running().forEach(::observe)
            delay(STEP)
        }
    }

    /** Observes until every running entry has the newest version, for at most [MAX_WAIT]. */
    suspend fun observeUntilInForce() {
        val until = ticker.now() + MAX_WAIT
        while (ticker.now() < until && running().any { versionOf(it) < progress.size }) observe(STEP)
    }

    private fun running() = cluster.entries.filter { it.name !in cluster.stopped }

    private fun versionOf(entry: SimulatedCluster.Entry) = entry.book.state?.version ?: 0

    private fun observe(entry: SimulatedCluster.Entry) {
        val version = versionOf(entry)
        val active = entry.roles.active && version > 0
        if (version < (newest[entry] ?: 0)) wentBack += entry.name
        newest[entry] = version
        val now = ticker.now()
        val allowance = allowances[entry.name]
        if (allowance != null && allowance.covers(now, active)) return
        for (missing in progress.drop(version.toInt())) {
            val age = now - missing.writtenAt
            if (active) missing.active = maxOf(missing.active, age)
            missing.all = maxOf(missing.all, age)
            if (age > BOUND) missing.late += entry.name
        }
    }

    /** Entries that have the newest version but not exactly its routes. */
    private fun withWrongRoutes(): List<String> {
        val expected = routes.toSet()
        val sample = routes.takeLast(SAMPLED).filterIndexed { i, _ -> i % 100 == 0 }
        return running().filter { versionOf(it) == progress.size.toLong() }.filterNot { entry ->
            val found = entry.book.routes
            val complete = found.size == expected.size && expected.containsAll(found.all().toList())
            complete && sample.all { entry.book.routes.find(it.host, "${it.prefix}x") == it }
        }.map { it.name }
    }

    /** Most bytes that one entry sent, and the bytes that all sent, since [start]. */
    fun sentBytes(): Pair<Long, Long> = cluster.links.sentBytes.values.let { (it.maxOrNull() ?: 0) to it.sum() }

    /** What was observed of the versions from [first] on, one line. */
    fun report(first: Int): String {
        val versions = progress.drop(first - 1).mapIndexed { i, version ->
            "version ${first + i}: active ${version.active}, all ${version.all}, late ${version.late.size}"
        }
        val (busiest, all) = sentBytes()
        return "$valueBytes bytes; ${versions.joinToString("; ")}; sent by the busiest / all: $busiest / $all bytes"
    }

    /** What was wrong with the versions from [first] on; empty if every entry had them within [BOUND]. */
    fun faults(first: Int): List<String> = progress.drop(first - 1).flatMapIndexed { i, version ->
        version.late.map { "$it without version ${first + i} in time" }
    } + wentBack.map { "$it went back" } + withWrongRoutes().map { "$it with wrong routes" }

    companion object {
        const val PER_ZONE = 34
        private val ZONES = listOf("a", "b", "c", "d")

        /** The stated bound config-apply-s. */
        val BOUND = 2.5.seconds
        private const val SAMPLED = 2_000
        private val STARTUP_TIME = 8.seconds
        private val DOWNTIME = 500.milliseconds
        private val STEP = 10.milliseconds
        private val MAX_WAIT = 5.seconds
    }
}
