package io.poplarwood.bench.configurations

/**
 * One question to an entry and its answer. A readiness check lasts from the first question without 200 to the next 200.
 *
 * @property readyAtNs when the entry first answered that it is ready, before the question
 * @property status status of the answer; 0 when there was none
 * @property version version that the store had when a request was sent; null for readiness
 * @property outdated whether the request was handled by a version that had been overtaken for longer than the bound
 */
internal class Sample(
    val entry: EntryVm,
    val readyAtNs: Long,
    val question: Question,
    val sentNs: Long,
    val waitNs: Long,
    val status: Int,
    val version: SentVersion? = null,
    val outdated: Boolean = false,
) {
    /** Time from the store's confirmation of [version] to the request; 0 without one. */
    val sinceVersionNs: Long get() = version?.let { sentNs - it.sentNs } ?: 0

    companion object {
        const val OK: Int = 200
        const val NOT_FOUND: Int = 404
    }
}
