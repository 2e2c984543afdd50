package io.poplarwood.standins.platform

import io.poplarwood.api.platform.ObjectStore
import io.poplarwood.api.platform.TableStore
import io.poplarwood.api.platform.VmList
import io.poplarwood.api.platform.VmRecord
import io.poplarwood.api.platform.VmState
import io.poplarwood.api.time.Ticker
import io.poplarwood.standins.net.monotonicTicker

/**
 * In-memory platform with table, object store and VM list, usable directly through the interfaces of module `api` and
 * over HTTP through [PlatformServer]. All three services share the rate limits and the faults.
 */
class StandInPlatform(limits: PlatformLimits = PlatformLimits(), ticker: Ticker = monotonicTicker()) {
    private val faultInjector = FaultInjector(limits, ticker)
    private val vmList = LaggingVmList(faultInjector, ticker)

    /** The transactional table. */
    val table: TableStore = InMemoryTableStore(faultInjector)

    /** The object store. */
    val objects: ObjectStore = InMemoryObjectStore(faultInjector)

    /** The VM list, delayed by [PlatformFaults.listLagMs]. */
    val vms: VmList = vmList

    /** Active faults; setting this property replaces all of them. */
    var faults: PlatformFaults by faultInjector::faults

    /** Operations received since the start. */
    fun counts(): PlatformCounts = faultInjector.counts()

    /** The current VMs, without the lag of [vms]. */
    fun currentVms(): List<VmRecord> = vmList.currentVms()

    /** Replaces the list of all VMs. */
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
