package io.poplarwood.decision.once

import io.poplarwood.api.id.EntryRef

/** What [AtMostOnce] needs done for one request. */
interface KeyPorts {
    /** Runs the request through its dispatcher. Called at most once for a key within this run of the entry. */
    suspend fun run(): KeyOutcome

    /** Sends [request] to [owner]; gives `key-owner-unreachable` when no answer comes back. */
    suspend fun forward(owner: EntryRef, request: KeyedRequest): KeyOutcome
}
