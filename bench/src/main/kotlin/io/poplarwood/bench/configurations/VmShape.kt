package io.poplarwood.bench.configurations

/**
 * Resources of one VM.
 *
 * @property processorShare share of a core; below 1, the VM has one core and gets it for this share of the time
 * @property linkMbps bandwidth of its link, in megabits per second
 * @property core processor that a VM with a share of a core is bound to
 * @property phase place of its running time in the cycle of the processor share, 0 to 1
 */
internal data class VmShape(val processorShare: Double, val linkMbps: Double, val core: Int, val phase: Double) {
    /** Whether the VM has less than a whole core. */
    val small: Boolean get() = processorShare < 1
}
