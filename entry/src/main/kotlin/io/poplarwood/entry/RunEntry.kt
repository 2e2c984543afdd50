package io.poplarwood.entry

import io.poplarwood.entry.settings.EntrySettings
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.withContext

/** Runs an entry until the coroutine is cancelled, then drains the entry. */
suspend fun runEntry(settings: EntrySettings) {
    val daemon = EntryDaemon(settings)
    daemon.start()
    try {
        awaitCancellation()
    } finally {
        withContext(NonCancellable) { daemon.drain() }
    }
}
