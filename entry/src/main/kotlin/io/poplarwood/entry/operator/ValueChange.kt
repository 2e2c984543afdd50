package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** A value that another change has changed; null where it is absent. */
@Serializable
data class ValueChange(val path: String, val before: String?, val after: String?)
