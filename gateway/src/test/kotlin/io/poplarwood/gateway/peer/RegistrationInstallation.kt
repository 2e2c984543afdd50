package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.store.Topic
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * 136 entries in four zones and [count] registrations, in virtual time. Observes when the entries know all of them.
 *
 * @param mbit bandwidth of the link of an entry in Mbit/s, by its name
 */
internal class RegistrationInstallation(
    private val test: TestScope,
    private val count: Int,
    seed: Int,
    mbit: (String) -> Double,
) {
    private val random = Random(seed)
    private val ticker = Ticker { test.testScheduler.currentTime.milliseconds }
    private val bandwidth =
        ZONES.flatMap { zone -> (1..LargeInstallation.PER_ZONE).map { "$zone-$it" } }.associateWith(mbit)
    val store = SimulatedStore()
    val cluster =
        SimulatedCluster(test.backgroundScope, ticker, store, ZONES, LargeInstallation.PER_ZONE, seed.toLong()) {
            bandwidth.getValue(it)
        }
    private val names = bandwidth.keys.toList()

    init {
        store.put(Topic.DESIRED_STATE, "c", SimulatedCodec.encode(1, SimulatedCodec.randomRoutes(ROUTES, random)))
        for (i in 1..count) change(i)
    }

    /** Writes the registration of upstream [i]. */
    private fun change(i: Int) = store.put(Topic.UPSTREAMS, "u$i", value())

    /** As long as a registration of the platform; about a quarter of it differs between upstreams. */
    private fun value(): String {
        val own = (1..OWN_BYTES).map { ALPHABET[random.nextInt(ALPHABET.length)] }.joinToString("")
        return own + "x".repeat(ROW_BYTES - OWN_BYTES)
    }

    /** Starts all entries at once, with limited links. */
    fun startAtOnce() {
        for ((name, mbps) in bandwidth) cluster.links.bandwidth[name] = (mbps * 1_000_000).toLong()
        for (entry in cluster.entries) entry.run()
    }

    /** Starts all entries one after another and waits until they know all registrations. */
    suspend fun startCalmly() {
        cluster.start()
        delay(STARTUP_TIME)
        for ((name, mbps) in bandwidth) cluster.links.bandwidth[name] = (mbps * 1_000_000).toLong()
        cluster.links.sentBytes.clear()
    }

    /** Starts the entries [restarted] anew at once; returns when all of them run again. */
    suspend fun restart(restarted: Collection<String>) {
        for (name in restarted) test.backgroundScope.launch { cluster.restart(name, DOWNTIME) }
        delay(DOWNTIME + 1.milliseconds)
        cluster.links.sentBytes.clear()
    }

    /** Cuts [cut] off from the store, and from each other if [isolated], while [changes] registrations change. */
    suspend fun cut(cut: Collection<String>, isolated: Boolean, changes: Int) {
        store.downFor += cut
        if (isolated) cluster.isolated += cut
        repeat(changes) {
            change(random.nextInt(count) + 1)
            delay(CUT / changes)
        }
        store.downFor.clear()
        cluster.isolated.clear()
        cluster.links.sentBytes.clear()
    }

    /** All upstreams write their registrations again, within [time]. */
    suspend fun renewAll(time: Duration) {
        for (i in 1..count) {
            change(i)
            if (i % RENEWED_AT_ONCE == 0) delay(time * RENEWED_AT_ONCE / count)
        }
    }

    fun zone(zone: String): List<String> = names.filter { it.startsWith(zone) }

    fun oneInTen(): List<String> = names.shuffled(random).take(names.size / 10 + 1)

    fun all(): List<String> = names

    /** Times from now until the first and the last entry know all registrations; infinite after [MAX_WAIT]. */
    suspend fun timeUntilKnown(): Pair<Duration, Duration> {
        val from = ticker.now()
        val newest = store.versions(Topic.UPSTREAMS).values.max()
        var first = Duration.INFINITE
        while (ticker.now() - from < MAX_WAIT) {
            val known = cluster.entries.count { it.book.upstreamVersion >= newest }
            if (known > 0) first = minOf(first, ticker.now() - from)
            if (known == cluster.entries.size) return first to ticker.now() - from
            delay(STEP)
        }
        return first to Duration.INFINITE
    }

    /** Names of entries that do not have exactly the registrations of the store. */
    fun withWrongRegistrations(): List<String> {
        val expected = store.versions(Topic.UPSTREAMS)
        return cluster.entries.filter { entry ->
            entry.book.upstreamPage("", Int.MAX_VALUE).associate { it.key to it.version } != expected
        }.map { it.name }
    }

    /** Most bytes that one entry sent, and the bytes that all sent. */
    fun sentBytes(): Pair<Long, Long> = cluster.links.sentBytes.values.let { (it.maxOrNull() ?: 0) to it.sum() }

    private companion object {
        val ZONES = listOf("a", "b", "c", "d")
        const val ROUTES = 100
        const val ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789"
        const val ROW_BYTES = 330
        const val OWN_BYTES = 80
        const val RENEWED_AT_ONCE = 10
        val STARTUP_TIME = 10.seconds
        val DOWNTIME = 500.milliseconds
        val CUT = 5.seconds
        val STEP = 10.milliseconds
        val MAX_WAIT = 12.seconds
    }
}
