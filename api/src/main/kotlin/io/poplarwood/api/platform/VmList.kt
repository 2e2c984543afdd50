package io.poplarwood.api.platform

import com.github.michaelbull.result.Result

/** The platform's list of live and leaving VMs. The list lags behind by seconds to minutes. */
fun interface VmList {
    /** Reads the list of all VMs of the cell. */
    suspend fun list(): Result<List<VmRecord>, StoreFailure>
}
