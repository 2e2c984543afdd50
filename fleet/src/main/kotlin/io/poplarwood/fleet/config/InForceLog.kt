package io.poplarwood.fleet.config

import io.poplarwood.api.platform.RowWrite
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.store.StoreOperation
import io.poplarwood.fleet.store.StoreResult
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.cbor.Cbor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Records in the store when changes were in force everywhere; one row covers all changes since the previous row. */
internal class InForceLog(private val ctx: NodeContext) {
    private val times = ArrayDeque<InForceTime>()
    private var writing = false
    private var nextAt = Duration.ZERO

    fun add(rollout: Rollout) {
        if (rollout.changeIds.isEmpty()) return
        if (times.size >= MAX_UNWRITTEN) times.removeFirst()
        val took = ctx.now - (rollout.acceptedAt ?: ctx.now)
        val atMs = ctx.clock.now().toEpochMilliseconds()
        times.addLast(InForceTime(rollout.batch.sequence, atMs, took.inWholeMilliseconds))
    }

    fun tick(now: Duration) {
        if (writing || times.isEmpty() || now < nextAt) return
        val page = times.take(PAGE_ENTRIES)
        val write = RowWrite(ConfigCodec.inForceKey(page.first().sequence), 0, encode(page))
        writing = true
        ctx.perform(StoreOperation.Transact(listOf(write))) { result ->
            writing = false
            nextAt = ctx.now + WRITE_INTERVAL
            val present = result is StoreResult.Failed && result.failure is StoreFailure.Conflict
            // An existing row was written by an earlier attempt whose answer was lost.
            if (result is StoreResult.Applied || present) times.removeAll(page)
        }
    }

    companion object {
        private const val MAX_UNWRITTEN = 1_024
        private const val PAGE_ENTRIES = 64
        private val WRITE_INTERVAL = 2.seconds
        private val list = ListSerializer(InForceTime.serializer())

        private fun encode(times: List<InForceTime>): ByteArray = Cbor.encodeToByteArray(list, times)

        /** Decodes a row; empty when [bytes] do not encode one. */
        fun decode(bytes: ByteArray): List<InForceTime> =
            runCatching { Cbor.decodeFromByteArray(list, bytes) }.getOrDefault(emptyList())
    }
}
