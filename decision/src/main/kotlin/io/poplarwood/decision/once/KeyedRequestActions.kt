package io.poplarwood.decision.once

import io.poplarwood.api.id.EntryRef

/** Operations that [IdempotencyCoordinator] needs for one request. */
interface KeyedRequestActions {
    /** Runs the request through its dispatcher. Called at most once for a key within this run of the entry. */
    suspend fun run(): KeyOutcome

    /** Sends [request] to [owner]; returns `key-owner-unreachable` when no reply arrives. */
    suspend fun forward(owner: EntryRef, request: KeyedRequest): KeyOutcome
}
