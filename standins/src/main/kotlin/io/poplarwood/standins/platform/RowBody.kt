package io.poplarwood.standins.platform

import kotlinx.serialization.Serializable

/** JSON form of one row; [value] is encoded in Base64. */
@Serializable
internal data class RowBody(val key: String, val version: Long, val value: String)
