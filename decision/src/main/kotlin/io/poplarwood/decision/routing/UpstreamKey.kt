package io.poplarwood.decision.routing

import com.dynatrace.hash4j.hashing.Hashing
import io.poplarwood.api.id.UpstreamId
import kotlinx.serialization.Serializable

/**
 * Short name of an upstream in lease messages: a 32-bit hash, because the full name would be half of each message.
 *
 * Two upstreams of one service with the same key would share leases, which causes sheds at worst.
 */
@JvmInline
@Serializable
value class UpstreamKey(val value: Int) {
    companion object {
        fun of(upstream: UpstreamId): UpstreamKey =
            UpstreamKey(Hashing.komihash5_0().hashCharsToLong(upstream.toString()).toInt())
    }
}
