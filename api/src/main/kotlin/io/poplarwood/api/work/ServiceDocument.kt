package io.poplarwood.api.work

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.ServiceName
import kotlinx.serialization.Serializable

/**
 * Everything operators say about one service. The version belongs to the row that holds the document, not to it.
 *
 * @property classes at least one; names are unique
 * @property defaultClass class of a request that no rule matches
 * @property probesPerSecond probes and report reads a second that measuring may put on the service, over all entries
 * @property automationPaused stops ejection and moves of capacity, for the time of a repair by hand
 */
@Serializable
data class ServiceDocument(
    val service: ServiceName,
    val classes: List<ClassSpec>,
    val defaultClass: ClassName,
    val probesPerSecond: Double = 20.0,
    val automationPaused: Boolean = false,
) {
    /** The class called [name], or null. */
    fun classNamed(name: ClassName): ClassSpec? = classes.firstOrNull { it.name == name }

    /** The class of a request that names none: the first rule that matches, else the default. */
    fun classify(method: String, path: String): ClassSpec =
        classes.firstOrNull { c -> c.match.any { it.matches(method, path) } }
            ?: classNamed(defaultClass)
            ?: classes.first()
}
