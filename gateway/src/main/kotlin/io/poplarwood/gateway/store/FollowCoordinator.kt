package io.poplarwood.gateway.store

/**
 * Coordinates which entries follow the store, so that the number of its calls does not grow with the number of entries.
 */
internal interface FollowCoordinator {
    /** How this entry follows [topic]. */
    fun mode(topic: Topic): FollowMode

    /** Waits until [mode] may have changed. */
    suspend fun awaitTick()

    /** Pace of the queries in [FollowMode.SHARED] now. */
    val pacing: QueryPacing

    /** Records whether the store answered the last call about [topic]. */
    fun storeAnswered(topic: Topic, answered: Boolean)

    /**
     * Records that a call about [topic] brought no answer.
     *
     * @param late whether this entry itself was too late to tell, because its event loop was busy
     */
    fun storeFailed(topic: Topic, late: Boolean)

    /** Records whether an answer with rows of [topic] is arriving from the store. */
    fun rowsArriving(topic: Topic, arriving: Boolean)

    /**
     * Store version up to which this entry has the rows of [topic], whether they came from the store or from a peer.
     */
    fun version(topic: Topic): StoreVersion

    /**
     * Publishes to other entries that the store returned [rows] of [topic], the first ones that changed after version
     * [after].
     */
    fun rowsChanged(topic: Topic, rows: RowSnapshot, after: StoreVersion)
}
