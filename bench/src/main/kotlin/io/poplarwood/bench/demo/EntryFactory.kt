package io.poplarwood.bench.demo

import io.poplarwood.entry.settings.EntrySettings

/** Starts an entry in this process; returns once its listeners are open. */
fun interface EntryFactory {
    /** Starts an entry with [settings]. */
    suspend fun start(settings: EntrySettings): RunningEntry
}
