package io.poplarwood.fleet.config

import io.poplarwood.api.platform.RowWrite

/** A transaction in progress, with the requests that it completes. */
internal class PendingBatch(val batch: ChangeBatch, val requests: List<PendingChange>) {
    /** True once an answer was lost, so that the transaction may or may not have been applied. */
    var ambiguous = false

    /** Encoded documents that are too large for a row, with their object names. */
    val objects: List<Pair<String, ByteArray>> = batch.changes.mapNotNull { c ->
        val document = c.document ?: return@mapNotNull null
        c.digest?.let { it to ConfigCodec.encodeDocument(document) }
    }

    fun writes(): List<RowWrite> {
        val stored = batch.copy(changes = batch.changes.map { if (it.digest == null) it else it.copy(document = null) })
        val documents = stored.changes.map { c ->
            RowWrite(ConfigCodec.DOCUMENTS + c.service, c.version - 1, ConfigCodec.encodeChange(c))
        }
        val view = batch.view?.let { listOf(RowWrite(ConfigCodec.VIEW, it.version - 1, ConfigCodec.encodeView(it))) }
        val head = RowWrite(ConfigCodec.HEAD, batch.sequence - 1, batch.sequence.toString().encodeToByteArray())
        val change = RowWrite(ConfigCodec.changeKey(batch.sequence), 0, ConfigCodec.encodeBatch(stored))
        return documents + view.orEmpty() + change + head
    }
}
