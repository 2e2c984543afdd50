package io.poplarwood.fleet

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.random.SplitMix
import io.poplarwood.fleet.config.ChangeResult
import io.poplarwood.fleet.config.ConfigCodec
import io.poplarwood.fleet.virtual.VirtualCell
import io.poplarwood.fleet.virtual.VirtualEntry
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.test.fail
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A cell with fault injection and changes by operators; invariants are checked after every input of every entry. */
internal class FaultRun(private val seed: Long, size: Int = 7) {
    private val random = SplitMix(seed)
    val cell = VirtualCell(random.nextLong(), size) { e, event -> onEvent(e, event) }
    private val versions = HashMap<Triple<VirtualEntry, Int, ServiceName>, Long>()
    private val accepted = HashMap<Long, Duration>()
    private val results = HashMap<String, ChangeResult>()
    private val acceptedVersions = HashSet<Pair<String, Long>>()
    private val sent = HashMap<String, String>()
    private val generations = HashMap<VirtualEntry, Int>()
    private var inForceEverywhere = 0L
    private var changes = 0

    /** Number of accepted changes. */
    val acceptedCount: Int get() = acceptedVersions.size

    init {
        cell.afterInput = ::check
    }

    private fun onEvent(entry: VirtualEntry, event: FleetEvent) {
        when (event) {
            is FleetEvent.InForce -> {
                val key = Triple(entry, generations[entry] ?: 0, event.document.document.service)
                val before = versions.put(key, event.document.version) ?: 0
                assertTrue(event.document.version > before, "seed $seed: version went back at ${entry.id}")
            }
            is FleetEvent.ChangeCompleted -> onChangeSettled(event)
            is FleetEvent.InForceEverywhere -> inForceEverywhere = maxOf(inForceEverywhere, event.sequence)
            else -> Unit
        }
    }

    private fun onChangeSettled(event: FleetEvent.ChangeCompleted) {
        val before = results.put(event.changeId, event.result)
        assertEquals(null, before, "seed $seed: ${event.changeId} settled twice")
        val result = event.result as? ChangeResult.Accepted ?: return
        accepted.putIfAbsent(result.sequence, cell.timeline.now())
        val pair = sent.getValue(event.changeId) to result.version
        assertTrue(acceptedVersions.add(pair), "seed $seed: two changes accepted as $pair")
    }

    /** Checks the invariants of an entry that accepts new requests. */
    private fun check(entry: VirtualEntry) {
        if (!entry.takesWork) return
        val now = cell.timeline.now()
        val applied = entry.node.applied
        if (applied <
            inForceEverywhere
        ) {
            fail("seed $seed: at $now ${entry.id} works with $applied after $inForceEverywhere was everywhere")
        }
        val late = accepted.filter { (sequence, at) -> sequence > applied && now - at > BOUND }
        if (late.isNotEmpty()) fail("seed $seed: at $now ${entry.id} works with $applied, accepted were $late")
    }

    /** Sends a change by an operator to a random entry. */
    fun submitChange() {
        val service = "s${random.nextInt(3)}"
        val id = "c${changes++}"
        val at = anyEntry()
        val expected = cell.store.version(ConfigCodec.DOCUMENTS + service)
        sent[id] = service
        cell.input(at) { change(request(id, service, expected, within = 1L + random.nextInt(1000))) }
    }

    fun anyEntry(): VirtualEntry = cell.entries[random.nextInt(cell.entries.size)]

    fun restart(entry: VirtualEntry) {
        generations.merge(entry, 1, Int::plus)
        cell.restart(entry)
    }

    /** Runs for [time] with a change, or with [two] two concurrent changes, every 0.3 s to 1.3 s. */
    fun runWithOperators(time: Duration, two: Boolean) {
        val end = cell.timeline.now() + time
        while (cell.timeline.now() < end) {
            submitChange()
            if (two) submitChange()
            cell.run((300 + random.nextInt(1_000)).milliseconds)
        }
    }

    /** Checks that all entries have the newest documents; to be called after all faults have ended. */
    fun checkConverged() {
        cell.run(30.seconds)
        val head = cell.store.version(ConfigCodec.HEAD)
        cell.entries.forEach { e ->
            assertEquals(head, e.node.applied, "seed $seed: ${e.id} lags")
            assertTrue(e.node.fresh, "seed $seed: ${e.id} is not fresh")
            assertEquals(cell.entries.size, e.node.members.size, "seed $seed: ${e.id} lacks members")
            e.node.documents.forEach { d ->
                assertEquals(cell.store.version(ConfigCodec.DOCUMENTS + d.document.service), d.version, "seed $seed")
            }
        }
    }

    private companion object {
        /** Freshness bound: 3 s after acceptance, plus one tick to detect that the reading has expired. */
        val BOUND = 3_100.milliseconds
    }
}
