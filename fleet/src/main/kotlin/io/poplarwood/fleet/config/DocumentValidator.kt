package io.poplarwood.fleet.config

import io.poplarwood.api.work.ClassSpec
import io.poplarwood.api.work.ServiceDocument

/** Validates documents before they are written. */
object DocumentValidator {
    /** Maximum size of an encoded document in bytes; a batch with one document must fit into a frame. */
    const val MAX_BYTES = 128 * 1024

    private const val MAX_CLASSES = 64
    private const val MAX_DEADLINE_MS = 24L * 60 * 60 * 1000
    private const val MAX_PROBES = 10_000.0
    private const val SUM_TOLERANCE = 1e-9
    private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9-]{0,62}")

    /** All validation errors of [document]; empty when [document] is valid. */
    fun faults(document: ServiceDocument): List<ConfigFault> = buildList {
        if (!NAME.matches(document.service.value)) {
            add(
                fault(
                    ConfigFaultKind.OUT_OF_RANGE,
                    "$.service",
                    document.service,
                    "letters, digits and hyphens, at most 63",
                ),
            )
        }
        if (document.classes.size !in 1..MAX_CLASSES) {
            add(
                fault(
                    ConfigFaultKind.OUT_OF_RANGE,
                    "$.classes",
                    "${document.classes.size} classes",
                    "1 to $MAX_CLASSES",
                ),
            )
        }
        if (document.findClass(document.defaultClass) == null) {
            val names = document.classes.joinToString { it.name.value }
            add(fault(ConfigFaultKind.UNKNOWN_CLASS, "$.defaultClass", document.defaultClass, "one of $names"))
        }
        if (document.probesPerSecond.isNaN() || document.probesPerSecond !in 0.0..MAX_PROBES) {
            add(fault(ConfigFaultKind.OUT_OF_RANGE, "$.probesPerSecond", document.probesPerSecond, "0 to $MAX_PROBES"))
        }
        document.classes.forEachIndexed { i, spec -> addAll(classFaults("$.classes[$i]", spec)) }
        addAll(duplicates(document))
        addAll(shares(document))
        val bytes = ConfigCodec.encodeDocument(document).size
        if (bytes > MAX_BYTES) add(fault(ConfigFaultKind.TOO_LARGE, "$", "$bytes bytes", "at most $MAX_BYTES bytes"))
    }

    private fun duplicates(document: ServiceDocument): List<ConfigFault> {
        val seen = HashSet<String>()
        return document.classes.mapIndexedNotNull { i, spec ->
            if (seen.add(spec.name.value)) {
                null
            } else {
                fault(ConfigFaultKind.DUPLICATE_NAME, "$.classes[$i].name", spec.name, "a name that no other class has")
            }
        }
    }

    private fun shares(document: ServiceDocument): List<ConfigFault> {
        val sum = document.classes.sumOf { it.target.keepShare ?: 0.0 }
        if (sum.isNaN() || sum <= 1 + SUM_TOLERANCE) return emptyList()
        return listOf(
            fault(
                ConfigFaultKind.CONTRADICTORY,
                "$.classes[*].target.keepShare",
                "a sum of $sum",
                "a sum of at most 1",
            ),
        )
    }

    private fun classFaults(at: String, spec: ClassSpec): List<ConfigFault> = buildList {
        if (!NAME.matches(spec.name.value)) {
            add(fault(ConfigFaultKind.OUT_OF_RANGE, "$at.name", spec.name, "letters, digits and hyphens, at most 63"))
        }
        if (spec.deadlineMs !in 1..MAX_DEADLINE_MS) {
            add(fault(ConfigFaultKind.OUT_OF_RANGE, "$at.deadlineMs", spec.deadlineMs, "1 to $MAX_DEADLINE_MS"))
        }
        if (spec.maxBodyBytes < 0) {
            add(fault(ConfigFaultKind.OUT_OF_RANGE, "$at.maxBodyBytes", spec.maxBodyBytes, "0 or more"))
        }
        if (spec.maxSlotShare.isNaN() || spec.maxSlotShare <= 0 || spec.maxSlotShare > 1) {
            add(fault(ConfigFaultKind.OUT_OF_RANGE, "$at.maxSlotShare", spec.maxSlotShare, "above 0, at most 1"))
        }
        addAll(targetFaults("$at.target", spec))
    }

    private fun targetFaults(at: String, spec: ClassSpec): List<ConfigFault> = buildList {
        if (spec.target.servedWithinMs == null && spec.target.keepShare == null) {
            add(fault(ConfigFaultKind.MISSING, at, "neither", "servedWithinMs, keepShare or both"))
        }
        spec.target.servedWithinMs?.let { addAll(timeFaults(at, spec, it)) }
        spec.target.keepShare?.let { addAll(shareFaults(at, spec, it)) }
        val part = spec.target.servedPart
        if (part.isNaN() || part <= 0 || part > 1) {
            add(fault(ConfigFaultKind.OUT_OF_RANGE, "$at.servedPart", part, "above 0, below 1"))
        }
        if (part == 1.0) {
            add(fault(ConfigFaultKind.UNREACHABLE, "$at.servedPart", part, "below 1: servers fail"))
        }
    }

    private fun timeFaults(at: String, spec: ClassSpec, within: Long): List<ConfigFault> = buildList {
        if (within < 1) {
            add(fault(ConfigFaultKind.OUT_OF_RANGE, "$at.servedWithinMs", within, "1 or more"))
        }
        if (within > spec.deadlineMs) {
            val allowed = "at most deadlineMs, ${spec.deadlineMs}: later requests have been refused by then"
            add(fault(ConfigFaultKind.UNREACHABLE, "$at.servedWithinMs", within, allowed))
        }
    }

    private fun shareFaults(at: String, spec: ClassSpec, share: Double): List<ConfigFault> = buildList {
        if (share.isNaN() || share !in 0.0..1.0) {
            add(fault(ConfigFaultKind.OUT_OF_RANGE, "$at.keepShare", share, "0 to 1"))
        }
        if (share > spec.maxSlotShare) {
            val allowed = "at most maxSlotShare, ${spec.maxSlotShare}"
            add(fault(ConfigFaultKind.CONTRADICTORY, "$at.keepShare", share, allowed))
        }
    }

    private fun fault(kind: ConfigFaultKind, path: String, found: Any, allowed: String) =
        ConfigFault(kind, path, found.toString(), allowed)
}
