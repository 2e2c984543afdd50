package io.poplarwood.cli

import io.poplarwood.bench.Benches
import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.demo.EntryFactory
import io.poplarwood.entry.settings.EntrySettings

/**
 * Dependencies of the commands.
 *
 * @property runEntry runs an entry until cancelled, then stops it gracefully; null in a build without the entry
 * @property entries starts the entries of the demo; null in a build without the entry
 */
class Wiring(
    val runEntry: (suspend (EntrySettings) -> Unit)? = null,
    val entries: EntryFactory? = null,
    val benches: List<Bench> = Benches.all,
)
