package io.poplarwood.fleet.config

import io.poplarwood.api.work.ClassSpec
import io.poplarwood.api.work.ServiceDocument

/** Lists the differences between two documents, for an operator whose change was in conflict with another one. */
object DocumentDiff {
    /** Differences from [before] to [after]; null stands for a document without values. */
    fun between(before: ServiceDocument?, after: ServiceDocument?): List<Difference> {
        val a = before?.let(::values).orEmpty()
        val b = after?.let(::values).orEmpty()
        return (a.keys + b.keys).filter { a[it] != b[it] }.map { Difference(it, a[it], b[it]) }
    }

    private fun values(document: ServiceDocument): Map<String, String> = buildMap {
        put("$.defaultClass", document.defaultClass.value)
        put("$.probesPerSecond", document.probesPerSecond.toString())
        document.classes.forEachIndexed { i, spec ->
            put("$.classes[${spec.name}].position", i.toString())
            classValues("$.classes[${spec.name}]", spec)
        }
    }

    private fun MutableMap<String, String>.classValues(at: String, spec: ClassSpec) {
        put("$at.rank", spec.rank.name.lowercase())
        spec.target.servedWithinMs?.let { put("$at.target.servedWithinMs", it.toString()) }
        put("$at.target.servedPart", spec.target.servedPart.toString())
        spec.target.keepShare?.let { put("$at.target.keepShare", it.toString()) }
        put("$at.match", spec.match.joinToString { "${it.method ?: "*"} ${it.pathPrefix}" })
        spec.idempotent?.let { put("$at.idempotent", it.toString()) }
        put("$at.deadlineMs", spec.deadlineMs.toString())
        put("$at.maxBodyBytes", spec.maxBodyBytes.toString())
        put("$at.maxSlotShare", spec.maxSlotShare.toString())
    }
}
