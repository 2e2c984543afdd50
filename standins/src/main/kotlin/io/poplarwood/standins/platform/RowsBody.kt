package io.poplarwood.standins.platform

import kotlinx.serialization.Serializable

/** JSON form of a list of rows; a read of a single row returns none or one. */
@Serializable
internal data class RowsBody(val rows: List<RowBody>)
