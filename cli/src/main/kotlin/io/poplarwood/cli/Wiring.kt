package io.poplarwood.cli

import io.poplarwood.bench.Benches
import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.demo.EntryFactory
import io.poplarwood.entry.settings.EntrySettings

/**
 * What the commands run.
 *
 * @property runEntry runs an entry until it is cancelled, then stops it gracefully; null in a build without one
 * @property entries starts entries inside the demo; null in a build without one
 */
class Wiring(
    val runEntry: (suspend (EntrySettings) -> Unit)? = null,
    val entries: EntryFactory? = null,
    val benches: List<Bench> = Benches.all,
)
