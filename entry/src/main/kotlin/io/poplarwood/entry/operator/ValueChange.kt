package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** A value that another change modified; [before] or [after] is null where the value is absent. */
@Serializable
data class ValueChange(val path: String, val before: String?, val after: String?)
