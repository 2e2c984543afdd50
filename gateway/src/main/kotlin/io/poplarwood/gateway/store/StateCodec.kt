package io.poplarwood.gateway.store

import com.github.michaelbull.result.Result
import io.poplarwood.gateway.route.DesiredState
import io.poplarwood.gateway.upstream.Upstream

/** Reads what others wrote into the store. A row that cannot be read is left out; the others hold. */
interface StateCodec {
    /** The desired state in [value]. */
    fun desiredState(value: ByteArray): Result<DesiredState, StoreError.Malformed>

    /** The registration [key] with content [value]. */
    fun upstream(key: String, value: ByteArray): Result<Upstream, StoreError.Malformed>
}
