package io.poplarwood.entry.operator

import io.poplarwood.api.work.ServiceDocument
import kotlinx.serialization.Serializable

/** A service's document in force and its [version]. */
@Serializable
data class ServiceClasses(val version: Long, val document: ServiceDocument)
