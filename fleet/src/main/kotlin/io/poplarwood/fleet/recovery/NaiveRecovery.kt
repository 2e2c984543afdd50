package io.poplarwood.fleet.recovery

import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.config.ConfigCodec
import io.poplarwood.fleet.config.ConfigState
import io.poplarwood.fleet.store.StoreAnswer
import io.poplarwood.fleet.store.StoreOperation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Recovery without limits, for comparison only: once the store has failed, every document is read again, all at once,
 * and each read is repeated after a fixed pause until it succeeds.
 */
internal class NaiveRecovery(
    private val ctx: NodeContext,
    private val state: ConfigState,
    private val storeDown: () -> Boolean,
) {
    private val waiting = HashMap<String, Duration>()
    private val running = HashSet<String>()
    private var begun = false

    fun tick(now: Duration) {
        if (storeDown() && !begun) {
            begun = true
            state.all.forEach { waiting[ConfigCodec.DOCUMENTS + it.document.service] = now }
        }
        if (waiting.isEmpty() && running.isEmpty() && !storeDown()) begun = false
        val due = waiting.filterValues { it <= now }.keys.toList()
        due.forEach(::read)
    }

    private fun read(key: String) {
        waiting -= key
        running += key
        ctx.store(StoreOperation.Read(key)) { answer ->
            running -= key
            if (answer is StoreAnswer.Failed) waiting[key] = ctx.now + RETRY_PAUSE
        }
    }

    private companion object {
        val RETRY_PAUSE = 100.milliseconds
    }
}
