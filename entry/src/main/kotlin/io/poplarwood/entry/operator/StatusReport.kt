package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** What one entry knows about its cell. */
@Serializable
data class StatusReport(
    val entry: String,
    val cell: String,
    val sequence: Long,
    val automationPaused: Boolean,
    val entries: List<EntryStatus>,
    val upstreams: List<UpstreamStatus>,
    val classes: List<ClassStatus>,
)
