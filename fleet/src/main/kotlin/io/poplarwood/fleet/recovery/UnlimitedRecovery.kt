package io.poplarwood.fleet.recovery

import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.config.ConfigCodec
import io.poplarwood.fleet.config.ConfigState
import io.poplarwood.fleet.store.StoreOperation
import io.poplarwood.fleet.store.StoreResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Recovery without rate limits, for comparison measurements only: after a store failure, reads all documents again at
 * once, and retries each read after a fixed delay until it succeeds.
 */
internal class UnlimitedRecovery(
    private val ctx: NodeContext,
    private val state: ConfigState,
    private val storeDown: () -> Boolean,
) {
    private val retryAt = HashMap<String, Duration>()
    private val running = HashSet<String>()
    private var started = false

    fun tick(now: Duration) {
        if (storeDown() && !started) {
            started = true
            state.all.forEach { retryAt[ConfigCodec.DOCUMENTS + it.document.service] = now }
        }
        if (retryAt.isEmpty() && running.isEmpty() && !storeDown()) started = false
        val due = retryAt.filterValues { it <= now }.keys.toList()
        due.forEach(::read)
    }

    private fun read(key: String) {
        retryAt -= key
        running += key
        ctx.perform(StoreOperation.Read(key)) { result ->
            running -= key
            if (result is StoreResult.Failed) retryAt[key] = ctx.now + RETRY_DELAY
        }
    }

    private companion object {
        val RETRY_DELAY = 100.milliseconds
    }
}
