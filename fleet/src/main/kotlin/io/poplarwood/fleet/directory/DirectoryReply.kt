package io.poplarwood.fleet.directory

import kotlin.time.Duration

/** Entries to use for one service, best first, and the time for which a caller may cache this reply. */
data class DirectoryReply(val entries: List<DirectoryEntry>, val lifetime: Duration)
