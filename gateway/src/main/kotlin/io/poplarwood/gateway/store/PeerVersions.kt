package io.poplarwood.gateway.store

/** A store version for each other entry that is not silent. */
internal class PeerVersions {
    private val byPeer = HashMap<String, StoreVersion>()

    /**
     * The newest of all versions; [StoreVersion.NONE] when no other entry is known. Kept, because each request asks for
     * it.
     */
    var newest: StoreVersion = StoreVersion.NONE
        private set

    operator fun set(peer: String, version: StoreVersion) {
        val previous = byPeer.put(peer, version)
        if (version >= newest) {
            newest = version
        } else if (previous == newest) {
            findNewest()
        }
    }

    fun remove(peer: String) {
        if (byPeer.remove(peer) == newest) findNewest()
    }

    private fun findNewest() {
        newest = byPeer.values.maxOrNull() ?: StoreVersion.NONE
    }
}
