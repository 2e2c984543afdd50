package io.poplarwood.fleet.config

import io.poplarwood.api.platform.Row
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.store.StoreOperation
import io.poplarwood.fleet.store.StoreResult

/** Catches up with the store: change by change, or by reading all documents when far behind. */
internal class TableReader(private val ctx: NodeContext, private val state: ConfigState) {
    private var onDone: ((Boolean) -> Unit)? = null

    val running: Boolean get() = onDone != null

    /** Starts reading up to sequence [target] or beyond; calls [onDone] with false if that failed. */
    fun run(target: Long, onDone: (Boolean) -> Unit) {
        this.onDone = onDone
        if (state.applied < 0 || target - state.applied > FULL_READ_LAG) readAll() else readChanges()
    }

    private fun readChanges() {
        val after = ConfigCodec.changeKey(state.applied)
        ctx.perform(StoreOperation.Scan(ConfigCodec.CHANGES, after, PAGE_ROWS)) { result ->
            if (result is StoreResult.Scanned) applyRows(result.rows) else finish(false)
        }
    }

    private fun applyRows(rows: List<Row>) {
        val batches = rows.map { ConfigCodec.decodeBatch(it.value) ?: return finish(false) }
        batches.firstOrNull()?.let { if (it.sequence != state.applied + 1) return finish(false) }
        resolveDocuments(batches.flatMap { it.changes }) { found ->
            batches.forEach { b -> state.apply(b.copy(changes = b.changes.map { found[it.changeId] ?: it })) }
            finish(true)
        }
    }

    /** Reads the documents of [changes] that are stored as objects, one after the other; the result is by change id. */
    private fun resolveDocuments(changes: List<ConfigChange>, onDone: (Map<String, ConfigChange>) -> Unit) {
        val found = HashMap<String, ConfigChange>()
        val missing = ArrayDeque(changes.filter { it.document == null })

        fun next() {
            val change = missing.removeFirstOrNull() ?: return onDone(found)
            val digest = change.digest ?: return finish(false)
            ctx.perform(StoreOperation.Get(digest)) { result ->
                val bytes = (result as? StoreResult.Found)?.bytes
                val document = bytes?.takeIf { ConfigCodec.digest(it) == digest }?.let(ConfigCodec::decodeDocument)
                if (document == null) {
                    finish(false)
                } else {
                    found[change.changeId] = change.copy(document = document)
                    next()
                }
            }
        }
        next()
    }

    /** Reads the head first, so that the documents read afterwards include every change up to its sequence. */
    private fun readAll() {
        ctx.perform(StoreOperation.Read(ConfigCodec.HEAD)) { head ->
            if (head !is StoreResult.ReadRow) return@perform finish(false)
            ctx.perform(StoreOperation.Read(ConfigCodec.VIEW)) { view ->
                if (view !is StoreResult.ReadRow) return@perform finish(false)
                val found = view.row?.let { ConfigCodec.decodeView(it.value) ?: return@perform finish(false) }
                readDocuments("", emptyList()) { install(head.row?.version ?: 0, it, found) }
            }
        }
    }

    private fun readDocuments(after: String, before: List<Row>, onDone: (List<Row>) -> Unit) {
        ctx.perform(StoreOperation.Scan(ConfigCodec.DOCUMENTS, after, PAGE_ROWS)) { result ->
            if (result !is StoreResult.Scanned) return@perform finish(false)
            val rows = before + result.rows
            if (result.rows.size < PAGE_ROWS) onDone(rows) else readDocuments(rows.last().key, rows, onDone)
        }
    }

    private fun install(sequence: Long, rows: List<Row>, view: FleetView?) {
        val changes = rows.map { ConfigCodec.decodeChange(it.value) ?: return finish(false) }
        resolveDocuments(changes) { found ->
            val documents = changes.mapNotNull { c ->
                (c.document ?: found[c.changeId]?.document)?.let { DocumentInForce(it, c.version, sequence) }
            }
            state.install(sequence, documents, view)
            finish(true)
        }
    }

    private fun finish(ok: Boolean) {
        val call = onDone
        onDone = null
        call?.invoke(ok)
    }

    private companion object {
        const val PAGE_ROWS = 50

        /** Number of missing changes above which all documents are read instead. */
        const val FULL_READ_LAG = 200
    }
}
