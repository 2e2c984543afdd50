package io.poplarwood.decision.routing

import com.dynatrace.hash4j.hashing.Hashing
import io.poplarwood.api.id.UpstreamId
import kotlinx.serialization.Serializable

/**
 * Short name of an upstream in slot messages: a 32-bit hash, because the full name would be half of each message.
 *
 * Two upstreams of one service with one key would share leases, which at worst causes sheds.
 */
@JvmInline
@Serializable
value class UpstreamKey(val value: Int) {
    companion object {
        /** The key of [upstream]. */
        fun of(upstream: UpstreamId): UpstreamKey =
            UpstreamKey(Hashing.komihash5_0().hashCharsToLong(upstream.toString()).toInt())
    }
}
