package io.poplarwood.fleet

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.work.Target
import io.poplarwood.fleet.config.ConfigFaultKind
import io.poplarwood.fleet.config.DocumentValidator
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class DocumentCheckSpec {
    private val good = document()

    private fun targets(first: Target, second: Target = Target(keepShare = 0.3)) =
        good.copy(classes = listOf(good.classes[0].copy(target = first), good.classes[1].copy(target = second)))

    @Nested
    inner class `a document` {
        @Test
        fun `is refused with the kind and path of each fault`() {
            // Guards against targets that cannot be met, and against errors that do not state the invalid value.
            val cases = mapOf(
                good to emptyList(),
                good.copy(defaultClass = ClassName("x")) to listOf(ConfigFaultKind.UNKNOWN_CLASS to "$.defaultClass"),
                good.copy(probesPerSecond = Double.NaN) to listOf(ConfigFaultKind.OUT_OF_RANGE to "$.probesPerSecond"),
                good.copy(classes = listOf(good.classes[0], good.classes[0])) to
                    listOf(ConfigFaultKind.DUPLICATE_NAME to "$.classes[1].name"),
                targets(Target()) to listOf(ConfigFaultKind.MISSING to "$.classes[0].target"),
                targets(Target(servedWithinMs = 60_000)) to
                    listOf(ConfigFaultKind.UNREACHABLE to "$.classes[0].target.servedWithinMs"),
                targets(Target(servedWithinMs = 5, servedPart = 1.0)) to
                    listOf(ConfigFaultKind.UNREACHABLE to "$.classes[0].target.servedPart"),
                targets(Target(keepShare = 0.8)) to
                    listOf(ConfigFaultKind.CONTRADICTORY to "$.classes[*].target.keepShare"),
            )
            cases.forEach { (document, faults) ->
                assertEquals(faults, DocumentValidator.faults(document).map { it.kind to it.path })
            }
        }
    }
}
