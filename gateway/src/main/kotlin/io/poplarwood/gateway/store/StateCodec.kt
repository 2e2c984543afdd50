package io.poplarwood.gateway.store

import com.github.michaelbull.result.Result
import io.poplarwood.gateway.route.DesiredState
import io.poplarwood.gateway.upstream.Upstream

/** Decodes rows of the store. A row that cannot be decoded is ignored and does not affect the other rows. */
interface StateCodec {
    /** Decodes the desired state. */
    fun desiredState(value: ByteArray): Result<DesiredState, StoreError.Malformed>

    /** Decodes the registration with the key [key]. */
    fun upstream(key: String, value: ByteArray): Result<Upstream, StoreError.Malformed>
}
