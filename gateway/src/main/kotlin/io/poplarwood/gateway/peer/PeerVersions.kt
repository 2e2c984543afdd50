package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.store.StateReplica
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Compares the store versions in the heartbeats of other entries with those of this entry.
 *
 * @param onBehind called when another entry has newer rows of the store
 */
internal class PeerVersions(
    private val book: StateReplica,
    private val table: PeerTable,
    private val answers: StoreAnswers,
    private val ticker: Ticker,
    private val onBehind: () -> Unit,
) {
    /** Takes over from [hello] what it confirms, and reports newer rows. */
    fun compare(hello: PeerMessage.Hello) {
        book.observe(maxOf(hello.upstreamVersion, hello.stateAccepted))
        val sentAt = table.sentAt(hello)
        answers.heard(hello, sentAt)
        compareRegistrations(hello, sentAt)
        compareDesiredState(hello, sentAt)
        val lacksUpstreams = hello.upstreamVersion > book.upstreamVersion
        if (lacksUpstreams || hello.stateVersion > book.stateVersion) onBehind()
    }

    private fun compareRegistrations(hello: PeerMessage.Hello, sentAt: Duration?) {
        // An entry that started after what this one has does not know what was removed in between.
        val unchangedSince = hello.unchangedSince ?: hello.coveredVersion
        if (unchangedSince <= book.coveredVersion) book.advanceCoveredVersion(hello.coveredVersion)
        val coversSender = hello.coveredVersion <= book.coveredVersion
        if (coversSender && sentAt != null) book.confirm(sentAt - hello.confirmedMs.milliseconds)
    }

    private fun compareDesiredState(hello: PeerMessage.Hello, sentAt: Duration?) {
        val confirmedAt = sentAt?.let { it - hello.stateConfirmedMs.milliseconds } ?: -Duration.INFINITE
        // What the sender knows of the store changes nothing here: this entry has no older desired state than it.
        if (hello.stateVersion <= book.stateVersion) book.freshness.accept(hello.stateAccepted)
        book.freshness.heard(hello.from, hello.stateVersion.row, hello.stateReceived, confirmedAt, ticker.now())
    }
}
