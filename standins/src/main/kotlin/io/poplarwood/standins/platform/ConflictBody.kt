package io.poplarwood.standins.platform

import kotlinx.serialization.Serializable

/** Body of a 409 response: key of the first row in conflict and its current version. */
@Serializable
internal data class ConflictBody(val key: String, val current: Long? = null)
