package io.poplarwood.gateway.runtime

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.route.CallerLimits
import io.poplarwood.gateway.route.DesiredState
import io.poplarwood.gateway.route.RouteTable
import io.poplarwood.gateway.store.RowSnapshot
import io.poplarwood.gateway.store.StateCodec
import io.poplarwood.gateway.store.StateReplica
import io.poplarwood.gateway.store.StoreError
import io.poplarwood.gateway.store.StoreVersion
import io.poplarwood.gateway.store.StoredRow
import io.poplarwood.gateway.support.storeVersion
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.Upstream
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConfigurationLagLogSpec {
    private var now: Duration = 100.seconds
    private val lines = ArrayList<String>()
    private val book = StateReplica(Codec, UpstreamTable(), { it() }, Ticker { now }, EventLog(), {}, {})
    private val lagLog = ConfigurationLagLog(book, Ticker { now }) { event: GatewayEvent, values ->
        lines += "${event.id} ${values.joinToString(" ")}"
    }

    /** The value of a row is the version of a desired state, as text. */
    private object Codec : StateCodec {
        override fun desiredState(value: ByteArray): Result<DesiredState, StoreError.Malformed> {
            val version = value.decodeToString().toLongOrNull() ?: return Err(StoreError.Malformed("not a number"))
            return Ok(DesiredState(version, persistentMapOf(), RouteTable.EMPTY, CallerLimits()))
        }

        override fun upstream(key: String, value: ByteArray): Result<Upstream, StoreError.Malformed> = Ok(upstream(key))
    }

    private fun apply(value: String, version: Long) = runBlocking {
        book.applyStateRows(snapshot(value, storeVersion(version)), "store")
    }

    private fun snapshot(value: String, version: StoreVersion) =
        RowSnapshot(listOf(StoredRow("c", value.encodeToByteArray(), version)), version)

    private fun checkAfter(time: Duration) {
        now += time
        lagLog.check()
    }

    /** Guards against a line for each tick or heartbeat, and against an end that is not logged. */
    @Test
    fun `an entry that lacks a version is logged once after a second, and when it has it`() {
        apply("1", 10)
        book.freshness.confirm(now - 1_901.milliseconds)
        book.freshness.heard("p", storeVersion(11), storeVersion(11), now, now)
        checkAfter(999.milliseconds)
        assertEquals(emptyList(), lines)
        repeat(5) { checkAfter(100.milliseconds) }
        apply("2", 11)
        checkAfter(100.milliseconds)
        val behind = "PW-6114 1099 1.10 1.11 p not-received 3000"
        assertEquals(listOf(behind, "PW-6115 1599 1.11 1.11 p not-received 3500"), lines)
    }

    @Test
    fun `an entry that cannot decode a version says so`() {
        apply("1", 10)
        apply("x", 11)
        checkAfter(1.seconds)
        assertEquals(listOf("PW-6114 1000 1.10 1.11 store unreadable null"), lines)
    }

    /** Guards against lines for the short lag of each change. */
    @Test
    fun `a short lag is not logged`() {
        apply("1", 10)
        book.freshness.heard("p", storeVersion(11), storeVersion(11), now, now)
        checkAfter(500.milliseconds)
        apply("2", 11)
        checkAfter(2.seconds)
        assertEquals(emptyList(), lines)
    }

    /** Guards against a desired state from before the one in force that makes all entries count as behind for ever. */
    @Test
    fun `a later row that holds an older desired state is not newer`() {
        apply("5", 10)
        apply("4", 11)
        book.freshness.heard("p", storeVersion(11), storeVersion(11), now, now)
        checkAfter(2.seconds)
        assertEquals(emptyList(), lines)
    }
}
