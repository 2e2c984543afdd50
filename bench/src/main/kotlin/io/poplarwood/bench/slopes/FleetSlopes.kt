package io.poplarwood.bench.slopes

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.Zone
import io.poplarwood.api.platform.VmRecord
import io.poplarwood.api.platform.VmRole
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.api.work.Target
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.fleet.config.ChangeRequest
import io.poplarwood.fleet.virtual.VirtualCell
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What membership, configuration and upstream states cost one entry, in cells of shipped nodes in virtual time. */
internal class FleetSlopes(private val options: BenchOptions) {
    private val measured: Duration = if (options.quick) 10.seconds else 60.seconds

    fun all(): List<Slope> = listOf(entries(), upstreams(), services(), changes())

    private fun entries() = Slope(
        "Fleet: entries of the cell",
        "entries",
        TargetSize.ENTRIES,
        listOf(8, 16, 32, 64).map { point(it.toDouble(), Shape(entries = it)) },
    )

    private fun upstreams() = Slope(
        "Fleet: upstreams of the cell",
        "upstreams",
        TargetSize.UPSTREAMS,
        listOf(100, 300, 600, 1_200).map { point(it.toDouble(), Shape(upstreams = it)) },
    )

    private fun services() = Slope(
        "Fleet: services of the cell",
        "services",
        TargetSize.SERVICES,
        listOf(13, 26, 52, 104).map { point(it.toDouble(), Shape(services = it)) },
    )

    private fun changes() = Slope(
        "Fleet: configuration changes per 100 s",
        "changes",
        TargetSize.CHANGES_PER_SECOND * PER_SECONDS,
        listOf(5, 50, 100, 200).map { point(it.toDouble(), Shape(changesPer100 = it)) },
    )

    private fun point(size: Double, shape: Shape): Point {
        val before = Meter.heapInUse()
        val run = Run(shape)
        run.prepare()
        val heap = (Meter.heapInUse() - before).coerceAtLeast(0)
        val sent = run.cell.entries.sumOf { it.bytesSent }
        val cpu = Meter.processorTime { run.measure() }
        val bytes = run.cell.entries.sumOf { it.bytesSent } - sent
        val nodeSeconds = shape.entries * measured.inWholeSeconds.toDouble()
        return Point(size, cpu.inWholeMicroseconds / nodeSeconds, bytes / nodeSeconds, heap / KB / shape.entries)
    }

    private class Shape(
        val entries: Int = 16,
        val upstreams: Int = 100,
        val services: Int = 13,
        val changesPer100: Int = 0,
    )

    /** One cell; the store's rate is raised so that the load of documents does not queue. */
    private inner class Run(private val shape: Shape) {
        val cell = VirtualCell(options.seed, shape.entries, countBytes = true)
        private val versions = LongArray(shape.services)
        private var made = 0

        fun prepare() {
            cell.store.vms = List(shape.upstreams, ::vm)
            cell.run(SETTLE)
            repeat(shape.services) {
                change(it)
                cell.run(CHANGE_PAUSE)
            }
            cell.run(SETTLE)
        }

        fun measure() {
            val changes = (shape.changesPer100 * measured.inWholeSeconds / PER_SECONDS).toInt()
            if (changes == 0) return cell.run(measured)
            repeat(changes) {
                change(made % shape.services)
                cell.run(measured / changes)
            }
        }

        private fun change(service: Int) {
            val request = ChangeRequest("c${made++}", "bench", document(service), versions[service]++)
            cell.input(cell.entries[0]) { change(request) }
        }

        private fun document(service: Int) = ServiceDocument(
            ServiceName("service-$service"),
            listOf(
                ClassSpec(ClassName("checks"), Rank.URGENT, Target(servedWithinMs = 100L + made)),
                ClassSpec(ClassName("orders"), Rank.STANDARD, Target(keepShare = 0.2)),
                ClassSpec(ClassName("archives"), Rank.BACKGROUND, Target(keepShare = 0.1)),
            ),
            ClassName("checks"),
        )

        private fun vm(n: Int) = VmRecord(
            VmRole.UPSTREAM,
            "10.1.${n / 250}.${n % 250}:8080",
            "vm-$n",
            Zone("z${n % 3}"),
            service = ServiceName("service-${n % shape.services}"),
        )
    }

    private companion object {
        const val KB = 1024.0
        const val PER_SECONDS = 100
        val SETTLE = 15.seconds
        val CHANGE_PAUSE = 0.3.seconds
    }
}
