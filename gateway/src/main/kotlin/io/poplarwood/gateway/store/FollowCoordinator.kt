package io.poplarwood.gateway.store

/** Shares the following of the store among entries, so that its calls do not grow with their number. */
internal interface FollowCoordinator {
    /** How this entry follows the store now. */
    fun mode(): FollowMode

    /** Waits until the pace may have changed. */
    suspend fun nextLook()

    /** Number of entries that may look for the store at a shared pace. */
    val entryCount: Int

    /** Notes whether the store answered the last call about [topic]. */
    fun storeAnswered(topic: Topic, answered: Boolean)

    /** Store version up to which [topic] is known, from whatever source. */
    fun version(topic: Topic): Long

    /** Notes that the store told of [rows] of [topic], the first ones that changed after version [after]. */
    fun rowsChanged(topic: Topic, rows: Rows, after: Long)
}
