package io.poplarwood.gateway.adapter

import io.poplarwood.gateway.configuration.BackgroundWork
import io.poplarwood.gateway.http.EntryHttpClient
import io.poplarwood.gateway.http.HeaderNames
import io.poplarwood.gateway.settings.StoreSettings
import io.poplarwood.gateway.store.StateCodec
import io.poplarwood.gateway.store.StateStore

/** Header names, data formats and calls of the platform that an entry runs on. An adapter makes no decisions. */
interface Adapter {
    /** Names of the headers of requests and answers. */
    val headerNames: HeaderNames

    /** Encoding of the store's rows. */
    val codec: StateCodec

    /** Requests that the entry answers itself instead of forwarding them. */
    val endpoints: Endpoints

    /**
     * Creates a client of the store at the address in [settings], which makes its calls with [caller] and decodes large
     * answers with [background].
     */
    fun createStore(caller: EntryHttpClient, settings: StoreSettings, background: BackgroundWork): StateStore
}
