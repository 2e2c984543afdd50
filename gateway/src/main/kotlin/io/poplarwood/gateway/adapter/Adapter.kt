package io.poplarwood.gateway.adapter

import io.poplarwood.gateway.http.HeaderNames
import io.poplarwood.gateway.http.HttpCaller
import io.poplarwood.gateway.settings.StoreSettings
import io.poplarwood.gateway.store.StateCodec
import io.poplarwood.gateway.store.StateStore

/** How the surroundings of an entry speak: names, formats and calls, without any decision. */
interface Adapter {
    /** Headers of requests and answers. */
    val headers: HeaderNames

    /** Content of the store's rows. */
    val codec: StateCodec

    /** The interface for callers beside their requests. */
    val endpoints: Endpoints

    /** The store at the address in [settings]; calls go through [caller]. */
    fun store(caller: HttpCaller, settings: StoreSettings): StateStore
}
