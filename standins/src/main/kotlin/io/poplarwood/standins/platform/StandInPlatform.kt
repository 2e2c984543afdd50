package io.poplarwood.standins.platform

import io.poplarwood.api.platform.ObjectStore
import io.poplarwood.api.platform.TableStore
import io.poplarwood.api.platform.VmList
import io.poplarwood.api.platform.VmRecord
import io.poplarwood.api.platform.VmState
import io.poplarwood.api.time.Ticker
import io.poplarwood.standins.net.monotonicTicker

/**
 * The platform in memory: table, object store and list of VMs, usable directly as the ports of `api` and, through
 * [PlatformServer], over HTTP. All three share the rate limits and the faults.
 */
class StandInPlatform(limits: PlatformLimits = PlatformLimits(), ticker: Ticker = monotonicTicker()) {
    private val faultInjector = FaultInjector(limits, ticker)
    private val vmList = LaggingVmList(faultInjector, ticker)

    /** The table service. */
    val table: TableStore = InMemoryTableStore(faultInjector)

    /** The object store. */
    val objects: ObjectStore = InMemoryObjectStore(faultInjector)

    /** The list of VMs as the platform hands it out, late by [PlatformFaults.listLagMs]. */
    val vms: VmList = vmList

    /** Faults in force; replaced as a whole. */
    var faults: PlatformFaults by faultInjector::faults

    /** Operations so far. */
    fun counts(): PlatformCounts = faultInjector.counts()

    /** The VMs as they are now. */
    fun currentVms(): List<VmRecord> = vmList.currentVms()

    /** Replaces all VMs. */
    fun setVms(records: List<VmRecord>): Unit = vmList.update { records }

    /** Adds [record], or replaces the VM at its address. */
    fun putVm(record: VmRecord): Unit =
        vmList.update { current -> current.filterNot { it.address == record.address } + record }

    /** Removes the VM at [address]. */
    fun removeVm(address: String): Unit = vmList.update { current -> current.filterNot { it.address == address } }

    /** Lists the VM at [address] as leaving. */
    fun markLeaving(address: String): Unit = vmList.update { current ->
        current.map { if (it.address == address) it.copy(state = VmState.LEAVING) else it }
    }
}
