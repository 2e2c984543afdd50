package io.poplarwood.standins.platform

import kotlinx.serialization.Serializable

/** JSON form of one write; [value] is encoded in Base64, and null deletes the row. */
@Serializable
internal data class WriteBody(val key: String, val expected: Long, val value: String? = null)
