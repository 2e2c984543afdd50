package io.poplarwood.gateway.store

/** Shares the following of the store among entries, so that its calls do not grow with their number. */
internal interface WatchDuty {
    /** Whether the last call to the store was answered. */
    var storeAnswers: Boolean

    /** Whether this entry follows the store now. */
    fun watches(): Boolean

    /** Store version up to which [topic] is known, from whatever source. */
    fun known(topic: Topic): Long

    /** Notes that the store told of [rows] of [topic], which follow version [after]. */
    fun changed(topic: Topic, rows: Rows, after: Long)
}
