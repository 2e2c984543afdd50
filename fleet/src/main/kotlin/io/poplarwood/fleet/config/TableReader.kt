package io.poplarwood.fleet.config

import io.poplarwood.api.platform.Row
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.store.StoreAnswer
import io.poplarwood.fleet.store.StoreOperation

/** Brings the documents in force up to the table's: change by change, or all documents when far behind. */
internal class TableReader(private val ctx: NodeContext, private val state: ConfigState) {
    private var then: ((Boolean) -> Unit)? = null

    val running: Boolean get() = then != null

    /** Reads up to [target] at least and reports whether that went well. */
    fun run(target: Long, then: (Boolean) -> Unit) {
        this.then = then
        if (state.applied < 0 || target - state.applied > FAR_BEHIND) readAll() else readChanges()
    }

    private fun readChanges() {
        val after = ConfigCodec.changeKey(state.applied)
        ctx.store(StoreOperation.Scan(ConfigCodec.CHANGES, after, PAGE)) { answer ->
            if (answer is StoreAnswer.Scanned) applyRows(answer.rows) else end(false)
        }
    }

    private fun applyRows(rows: List<Row>) {
        val batches = rows.map { ConfigCodec.decodeBatch(it.value) ?: return end(false) }
        batches.firstOrNull()?.let { if (it.sequence != state.applied + 1) return end(false) }
        resolve(batches.flatMap { it.changes }) { found ->
            batches.forEach { b -> state.apply(b.copy(changes = b.changes.map { found[it.changeId] ?: it })) }
            end(true)
        }
    }

    /** Replaces digests by documents, one object after the other. */
    private fun resolve(changes: List<ConfigChange>, then: (Map<String, ConfigChange>) -> Unit) {
        val found = HashMap<String, ConfigChange>()
        val missing = ArrayDeque(changes.filter { it.document == null })

        fun next() {
            val change = missing.removeFirstOrNull() ?: return then(found)
            val digest = change.digest ?: return end(false)
            ctx.store(StoreOperation.Get(digest)) { answer ->
                val bytes = (answer as? StoreAnswer.Found)?.bytes
                val document = bytes?.takeIf { ConfigCodec.digest(it) == digest }?.let(ConfigCodec::decodeDocument)
                if (document == null) {
                    end(false)
                } else {
                    found[change.changeId] = change.copy(document = document)
                    next()
                }
            }
        }
        next()
    }

    /** The head is read first: documents read later are at least as new as its sequence says. */
    private fun readAll() {
        ctx.store(StoreOperation.Read(ConfigCodec.HEAD)) { head ->
            if (head !is StoreAnswer.ReadRow) return@store end(false)
            ctx.store(StoreOperation.Read(ConfigCodec.VIEW)) { view ->
                if (view !is StoreAnswer.ReadRow) return@store end(false)
                val found = view.row?.let { ConfigCodec.decodeView(it.value) ?: return@store end(false) }
                readDocuments("", emptyList()) { install(head.row?.version ?: 0, it, found) }
            }
        }
    }

    private fun readDocuments(after: String, before: List<Row>, then: (List<Row>) -> Unit) {
        ctx.store(StoreOperation.Scan(ConfigCodec.DOCUMENTS, after, PAGE)) { answer ->
            if (answer !is StoreAnswer.Scanned) return@store end(false)
            val rows = before + answer.rows
            if (answer.rows.size < PAGE) then(rows) else readDocuments(rows.last().key, rows, then)
        }
    }

    private fun install(sequence: Long, rows: List<Row>, view: FleetView?) {
        val changes = rows.map { ConfigCodec.decodeChange(it.value) ?: return end(false) }
        resolve(changes) { found ->
            val documents = changes.mapNotNull { c ->
                (c.document ?: found[c.changeId]?.document)?.let { DocumentInForce(it, c.version, sequence) }
            }
            state.install(sequence, documents, view)
            end(true)
        }
    }

    private fun end(ok: Boolean) {
        val call = then
        then = null
        call?.invoke(ok)
    }

    private companion object {
        const val PAGE = 50
        const val FAR_BEHIND = 200
    }
}
