package io.poplarwood.gateway.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.route.CallerLimits
import io.poplarwood.gateway.route.DesiredState
import io.poplarwood.gateway.route.RouteTable
import io.poplarwood.gateway.support.storeVersion
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.Upstream
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A replica whose clock stands still at [now] until it is set. */
internal abstract class ReplicaFixture {
    protected var now: Duration = 100.seconds
    protected val upstreams = UpstreamTable()
    protected val unavailable = ArrayList<String>()
    protected val book =
        StateReplica(Codec, upstreams, { it() }, Ticker { now }, EventLog(), {}, { unavailable += it.id })

    /** The value of a row is the version of a desired state or the state of an upstream, as text. */
    private object Codec : StateCodec {
        override fun desiredState(value: ByteArray): Result<DesiredState, StoreError.Malformed> {
            val version = value.decodeToString().toLongOrNull() ?: return Err(StoreError.Malformed("not a number"))
            return Ok(DesiredState(version, persistentMapOf(), RouteTable.EMPTY, CallerLimits()))
        }

        override fun upstream(key: String, value: ByteArray): Result<Upstream, StoreError.Malformed> =
            when (value.decodeToString()) {
                "ready" -> Ok(upstream(key))
                "draining" -> Ok(upstream(key, draining = true))
                else -> Err(StoreError.Malformed("unknown state"))
            }
    }

    protected fun row(key: String, value: String?, version: Long) =
        StoredRow(key, value?.encodeToByteArray(), storeVersion(version))
}
