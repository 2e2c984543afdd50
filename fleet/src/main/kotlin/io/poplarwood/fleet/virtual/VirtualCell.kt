package io.poplarwood.fleet.virtual

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.fleet.FleetEvent
import io.poplarwood.fleet.FleetNode
import io.poplarwood.fleet.FleetOutput
import io.poplarwood.fleet.FleetSettings
import io.poplarwood.fleet.message.FleetMessage
import io.poplarwood.fleet.recovery.StoreBudget
import kotlinx.serialization.cbor.Cbor
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Simulated cell: entries run the production state machines in virtual time, with fault injection in the store and the
 * network. Equal seeds give equal runs.
 *
 * @param seed seed of all random numbers
 * @param size number of entries
 * @param budget store capacity that the entries assume
 * @param limited false removes the rate limits of the entries on store operations
 * @param countBytes true counts the encoded size of all messages in [VirtualEntry.bytesSent]
 * @param onEvent receives the events of all entries
 */
class VirtualCell(
    seed: Long,
    size: Int,
    private val budget: StoreBudget = StoreBudget(),
    private val limited: Boolean = true,
    private val countBytes: Boolean = false,
    private val onEvent: (VirtualEntry, FleetEvent) -> Unit = { _, _ -> },
) {
    private val random = SplitMix(seed)

    /** Virtual time of the cell. */
    val timeline = Timeline()

    /** The simulated platform. */
    val store = VirtualStore(timeline, SplitMix(random.nextLong()))

    /** All entries, including those that were killed. */
    val entries: List<VirtualEntry> = List(size) { i ->
        VirtualEntry(EntryId("e${i.toString().padStart(2, '0')}"), "10.0.0.$i:7000", Zone("z${i % ZONES}"))
    }

    /** Probability that a message is lost, 0..1. */
    var loss = 0.0

    /** Called after every input of a node. */
    var afterInput: (VirtualEntry) -> Unit = {}

    private val byAddress = entries.associateBy { it.address }
    private val clock = object : Clock {
        override fun now() = Instant.fromEpochMilliseconds(EPOCH_MS) + timeline.now()
    }

    init {
        entries.forEach { start(it) }
    }

    /** Advances the virtual time by [time]. */
    fun run(time: Duration) = timeline.runTo(timeline.now() + time)

    /** Runs [block] on the node of [entry] and executes the outputs; deferred while the entry is paused. */
    fun input(entry: VirtualEntry, block: FleetNode.() -> List<FleetOutput>) {
        val generation = entry.generation
        if (!entry.alive) return
        if (entry.paused) {
            entry.deferred += { if (entry.generation == generation) input(entry, block) }
            return
        }
        entry.node.block().forEach { execute(entry, it) }
        afterInput(entry)
    }

    /** Suspends the process of [entry] for [time]; inputs are deferred until then. */
    fun pause(entry: VirtualEntry, time: Duration) {
        if (entry.paused || !entry.alive) return
        entry.paused = true
        val generation = entry.generation
        timeline.after(time) {
            if (entry.generation != generation) return@after
            entry.paused = false
            val deferred = ArrayList(entry.deferred)
            entry.deferred.clear()
            // The first tick after a pause runs at a random position among the deferred inputs.
            val tick = if (deferred.isEmpty()) 0 else random.nextInt(deferred.size + 1)
            deferred.forEachIndexed { i, late ->
                if (i == tick) input(entry) { tick() }
                late()
            }
        }
    }

    /** Terminates the process of [entry] without an announcement. */
    fun kill(entry: VirtualEntry) {
        entry.alive = false
        entry.paused = false
        entry.generation++
        entry.deferred.clear()
    }

    /** Terminates the process of [entry], if it is running, and starts a new one. */
    fun restart(entry: VirtualEntry) {
        kill(entry)
        entry.alive = true
        start(entry)
    }

    private fun start(entry: VirtualEntry) {
        val incarnation = Incarnation(EPOCH_MS + timeline.now().inWholeMilliseconds, random.nextLong())
        val settings = FleetSettings(
            EntryRef(entry.id, incarnation),
            entry.address,
            "caller-${entry.address}",
            entry.zone,
            entries.map { it.address },
            budget,
            limited,
        )
        entry.node = FleetNode(settings, timeline, clock, SplitMix(random.nextLong()))
        val generation = entry.generation
        timeline.after(TICK_INTERVAL * random.nextDouble()) { tick(entry, generation) }
        input(entry) { ready(true) }
    }

    private fun tick(entry: VirtualEntry, generation: Int) {
        if (entry.generation != generation) return
        if (!entry.paused) input(entry) { tick() }
        timeline.after(TICK_INTERVAL) { tick(entry, generation) }
    }

    private fun execute(entry: VirtualEntry, output: FleetOutput) {
        when (output) {
            is FleetOutput.Notify -> onEvent(entry, output.event)
            is FleetOutput.Send -> send(entry, output)
            is FleetOutput.Perform -> perform(entry, output)
        }
    }

    private fun perform(entry: VirtualEntry, output: FleetOutput.Perform) {
        val generation = entry.generation
        if (entry.storeUnreachable) {
            timeline.after(CONNECT_TIMEOUT) { reply(entry, generation, output.id, STORE_UNREACHABLE) }
        } else {
            store.perform(output.operation) { reply(entry, generation, output.id, it) }
        }
    }

    private fun reply(entry: VirtualEntry, generation: Int, id: Long, result: io.poplarwood.fleet.store.StoreResult) {
        if (entry.generation == generation) input(entry) { storeCompleted(id, result) }
    }

    private fun send(from: VirtualEntry, output: FleetOutput.Send) {
        from.messagesSent++
        if (countBytes) from.bytesSent += Cbor.encodeToByteArray(FleetMessage.serializer(), output.message).size
        val to = byAddress[output.address] ?: return
        if (from.partitioned || to.partitioned || random.nextDouble() < loss) return
        val sender = from.peer
        val generation = to.generation
        timeline.after(MIN_ONE_WAY_DELAY + MIN_ONE_WAY_DELAY * random.nextDouble()) {
            if (to.generation == generation && !to.partitioned) input(to) { receive(sender, output.message) }
        }
    }

    private companion object {
        const val ZONES = 3
        const val EPOCH_MS = 1_700_000_000_000L
        val TICK_INTERVAL = 100.milliseconds
        val MIN_ONE_WAY_DELAY = 1.milliseconds
        val CONNECT_TIMEOUT = 500.milliseconds
        val STORE_UNREACHABLE = io.poplarwood.fleet.store.StoreResult.Failed(
            io.poplarwood.api.platform.StoreFailure.Unavailable,
        )
    }
}
