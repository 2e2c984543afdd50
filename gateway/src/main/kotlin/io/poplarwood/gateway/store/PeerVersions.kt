package io.poplarwood.gateway.store

/** A version for each other entry that is not silent. */
internal class PeerVersions {
    private val byPeer = HashMap<String, Long>()

    /** The newest of all versions; 0 when no other entry is known. Kept, because each request asks for it. */
    var newest: Long = 0
        private set

    operator fun set(peer: String, version: Long) {
        val previous = byPeer.put(peer, version) ?: 0
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
        newest = byPeer.values.maxOrNull() ?: 0
    }
}
