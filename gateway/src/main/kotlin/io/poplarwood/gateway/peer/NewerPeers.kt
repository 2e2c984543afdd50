package io.poplarwood.gateway.peer

/**
 * Live peers that have newer rows of the store than this entry.
 *
 * @param versionOf version of the rows that the sender of a heartbeat has
 */
internal class NewerPeers<V>(
    private val self: String,
    private val zone: String,
    private val peers: PeerTable,
    private val versionOf: (PeerMessage.Hello) -> V,
) {
    /**
     * Addresses of the peers with rows of a version that [isUseful], those of the own zone first. Each entry has an
     * order of its own, so that not all ask the same peer.
     */
    fun of(isUseful: (V) -> Boolean): List<String> =
        peers.live.filter { peer -> peer.hello?.let { isUseful(versionOf(it)) } ?: false }
            .sortedWith(compareBy({ it.record.zone != zone }, { (self + it.name).hashCode() }))
            .map { it.record.peers }
}
