package io.poplarwood.api.work

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.ServiceName
import kotlinx.serialization.Serializable

/**
 * Configuration of one service by its operators. The version is a property of the stored row, not of the document.
 *
 * @property classes at least one; names are unique
 * @property defaultClass class of requests that match no rule
 * @property probesPerSecond limit on probes and load-report reads per second that all entries together send to
 *   the service
 * @property automationPaused disables ejection and shifting of capacity, for example during a manual repair
 */
@Serializable
data class ServiceDocument(
    val service: ServiceName,
    val classes: List<ClassSpec>,
    val defaultClass: ClassName,
    val probesPerSecond: Double = 20.0,
    val automationPaused: Boolean = false,
) {
    /** The class with [name], or null. */
    fun findClass(name: ClassName): ClassSpec? = classes.firstOrNull { it.name == name }

    /** Class of a request that names none: the first class with a matching rule, otherwise the default class. */
    fun classify(method: String, path: String): ClassSpec =
        classes.firstOrNull { c -> c.match.any { it.matches(method, path) } }
            ?: findClass(defaultClass)
            ?: classes.first()
}
