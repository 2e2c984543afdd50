package io.poplarwood.api.platform

import com.github.michaelbull.result.Result

/** The platform's list of live and leaving VMs. It lags by seconds to minutes. */
fun interface VmList {
    /** All VMs of the cell. */
    suspend fun list(): Result<List<VmRecord>, StoreFailure>
}
