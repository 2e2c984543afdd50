package io.poplarwood.gateway.peer

/** Live peers that have a newer desired state than this entry. */
internal class ConfigurationHolders(
    private val self: String,
    private val zone: String,
    private val peers: PeerTable,
) {
    /**
     * Addresses of the peers with a desired state newer than [storeVersion], those of the own zone first. Each entry
     * has an order of its own, so that not all ask the same peer.
     */
    fun of(storeVersion: Long): List<String> =
        peers.live.filter { peer -> (peer.hello?.stateVersion ?: 0) > storeVersion }
            .sortedWith(compareBy({ it.record.zone != zone }, { (self + it.name).hashCode() }))
            .map { it.record.peers }
}
