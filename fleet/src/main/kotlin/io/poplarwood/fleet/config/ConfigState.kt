package io.poplarwood.fleet.config

import io.poplarwood.api.id.ServiceName
import io.poplarwood.fleet.FleetEvent
import io.poplarwood.fleet.NodeContext

/** Documents and view in force at this entry, with the recent batches for peers that are behind. */
internal class ConfigState(private val ctx: NodeContext, private val onApplied: (Long) -> Unit) {
    private val documents = LinkedHashMap<ServiceName, DocumentInForce>()
    private val recent = ArrayDeque<ChangeBatch>()

    /** Sequence up to which every change is in force here; -1 before the first documents are known. */
    var applied = -1L
        private set
    var view: FleetView? = null
        private set

    /** Sequence of the batch that set [view]; may be a later one when a snapshot or the store supplied the view. */
    var viewSequence = 0L
        private set

    val all: Collection<DocumentInForce> get() = documents.values

    operator fun get(service: ServiceName): DocumentInForce? = documents[service]

    /** Version of the row of [service]'s document, 0 when there is none. */
    fun version(service: ServiceName): Long = documents[service]?.version ?: 0

    /** Puts [batch] in force. Returns false when an earlier batch or one of its documents is missing. */
    fun apply(batch: ChangeBatch): Boolean {
        if (applied < 0 || batch.sequence > applied + 1) return false
        if (batch.sequence <= applied) return true
        if (batch.changes.any { it.document == null }) return false
        batch.changes.forEach { c -> c.document?.let { put(DocumentInForce(it, c.version, batch.sequence)) } }
        batch.view?.let { installView(it, batch.sequence) }
        recent.addLast(batch)
        if (recent.size > MAX_RECENT_BATCHES) recent.removeFirst()
        advance(batch.sequence)
        return true
    }

    /** Installs the full state from a snapshot or the store; documents with a lower version than here are ignored. */
    fun install(sequence: Long, found: List<DocumentInForce>, foundView: FleetView?) {
        found.forEach(::put)
        foundView?.let { installView(it, sequence) }
        if (sequence <= applied) return
        recent.clear()
        advance(sequence)
    }

    /**
     * Batches after sequence [after], oldest first, as many as fit into a frame; empty when the batch that follows
     * [after] is not held.
     */
    fun batchesAfter(after: Long): List<ChangeBatch> {
        val first = recent.firstOrNull()?.sequence ?: return emptyList()
        if (after + 1 < first) return emptyList()
        var bytes = 0
        return recent.filter { it.sequence > after }.takeWhile { batch ->
            val empty = bytes == 0
            bytes += ConfigCodec.encodeBatch(batch).size
            empty || bytes <= MAX_REPLY_BYTES
        }
    }

    private fun put(found: DocumentInForce) {
        val service = found.document.service
        if (found.version <= version(service)) return
        documents[service] = found
        ctx.emit(FleetEvent.InForce(found))
    }

    private fun installView(found: FleetView, sequence: Long) {
        if (found.version <= (view?.version ?: 0)) return
        view = found
        viewSequence = sequence
    }

    private fun advance(sequence: Long) {
        applied = sequence
        onApplied(sequence)
    }

    private companion object {
        const val MAX_RECENT_BATCHES = 256

        /** Size limit of one reply in bytes; a single larger batch is still sent. */
        const val MAX_REPLY_BYTES = 160 * 1024
    }
}
