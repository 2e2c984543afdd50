package io.poplarwood.gateway.peer

import io.poplarwood.gateway.configuration.ConfigurationFetcher
import io.poplarwood.gateway.configuration.ConfigurationVersion
import io.poplarwood.gateway.store.StateReplica
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Fetches the desired state with [fetcher] whenever a peer announces a newer one than this entry has. */
internal class ConfigurationSync(
    private val fetcher: ConfigurationFetcher,
    private val holders: NewerPeers<ConfigurationVersion>,
    private val book: StateReplica,
    private val scope: CoroutineScope,
) {
    private var fetching = false

    /** Starts to fetch if this entry is behind and does not fetch already. */
    fun syncIfBehind() {
        if (fetching || holders.of { it > book.stateVersion }.isEmpty()) return
        fetching = true
        scope.launch {
            try {
                fetcher.fetch()?.let { book.applyState(it.configuration, it.peer) }
            } finally {
                fetching = false
            }
        }
    }
}
