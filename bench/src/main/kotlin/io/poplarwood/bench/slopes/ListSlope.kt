package io.poplarwood.bench.slopes

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.Zone
import io.poplarwood.api.platform.VmRecord
import io.poplarwood.api.platform.VmRole
import io.poplarwood.bench.api.BenchRow
import io.poplarwood.bench.api.BenchTable
import kotlinx.serialization.json.Json

/** What one read of the platform's list of VMs carries. */
internal object ListSlope {
    private val SIZES = listOf(100, 300, 600, 1_200)

    /** Bytes of one read against the number of VMs, as the adapter to the stand-in reads it. */
    fun table(): BenchTable {
        val bytes = SIZES.map { n -> Json.encodeToString(List(n, ::record)).length.toDouble() }
        val fit = LinearFit.of(SIZES.map { it.toDouble() }, bytes)
        val target = TargetSize.UPSTREAMS + TargetSize.ENTRIES
        val rows = SIZES.indices.map { BenchRow("${SIZES[it]} VMs", listOf(bytes[it])) } +
            BenchRow("slope per VM", listOf(fit.slope)) +
            BenchRow("largest residual, part", listOf(fit.residual)) +
            BenchRow("at ${target.toInt()} VMs", listOf(fit.at(target)))
        return BenchTable("Platform: list of VMs", listOf("bytes of one read"), rows)
    }

    private fun record(n: Int) = VmRecord(
        VmRole.UPSTREAM,
        "10.1.${n / 250}.${n % 250}:8080",
        "vm-$n",
        Zone("z${n % 3}"),
        service = ServiceName("service-${n % 52}"),
        slots = 3,
    )
}
