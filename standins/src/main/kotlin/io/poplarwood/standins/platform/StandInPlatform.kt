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
    private val gate = FaultInjector(limits, ticker)
    private val list = LaggingVmList(gate, ticker)

    /** The table service. */
    val table: TableStore = InMemoryTableStore(gate)

    /** The object store. */
    val objects: ObjectStore = InMemoryObjectStore(gate)

    /** The list of VMs as the platform hands it out, late by [PlatformFaults.listLagMs]. */
    val vms: VmList = list

    /** Faults in force; replaced as a whole. */
    var faults: PlatformFaults by gate::faults

    /** Operations so far. */
    fun counts(): PlatformCounts = gate.counts()

    /** The VMs as they are now. */
    fun actualVms(): List<VmRecord> = list.actual()

    /** Replaces all VMs. */
    fun setVms(records: List<VmRecord>): Unit = list.change { records }

    /** Adds [record], or replaces the VM at its address. */
    fun putVm(record: VmRecord): Unit =
        list.change { now -> now.filterNot { it.address == record.address } + record }

    /** Removes the VM at [address]. */
    fun removeVm(address: String): Unit = list.change { now -> now.filterNot { it.address == address } }

    /** Lists the VM at [address] as leaving. */
    fun markLeaving(address: String): Unit = list.change { now ->
        now.map { if (it.address == address) it.copy(state = VmState.LEAVING) else it }
    }
}
