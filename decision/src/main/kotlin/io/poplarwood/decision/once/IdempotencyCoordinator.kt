package io.poplarwood.decision.once

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.platform.TableStore
import io.poplarwood.api.random.RandomSource
import kotlin.coroutines.cancellation.CancellationException

/**
 * Routes requests with idempotency keys to the one run of an entry that may dispatch them.
 *
 * @param hasEnded whether membership considers a run of an entry ended
 * @param nowMs wall clock in milliseconds since the epoch
 */
class IdempotencyCoordinator(
    private val self: EntryRef,
    private val table: KeyTable,
    private val store: TableStore,
    private val hasEnded: (EntryRef) -> Boolean,
    private val nowMs: () -> Long,
    private val random: RandomSource,
) {
    /** Key prefix that the directory hands out for this entry. */
    fun prefix(): String = IssuedKey.prefix(self, nowMs())

    /**
     * Runs [request] at this entry, joins the run in flight, forwards the request to its owner, or returns the outcome
     * that is already known.
     */
    suspend fun handle(request: KeyedRequest, ports: KeyedRequestActions): KeyOutcome {
        val claim = request.claim
        val route = if (claim != null) routeToOwner(claim, self, hasEnded) else routeKey(request.key, self, hasEnded)
        return when (route) {
            is KeyRoute.Local -> runLocally(request, route.key, ports)
            is KeyRoute.Forward -> forward(route.owner, request, ports)
            is KeyRoute.Unknown -> KeyOutcome.Refused(route.reason)
            KeyRoute.Claim -> handleCallerKey(request, ports)
        }
    }

    private suspend fun runLocally(request: KeyedRequest, key: IssuedKey, ports: KeyedRequestActions): KeyOutcome {
        val recordKey = recordKeyOf(request)
        return when (val admission = table.open(recordKey, key.issuedMs, request.fingerprint, nowMs())) {
            is KeyAdmission.Decided -> admission.outcome
            is KeyAdmission.Join -> admission.outcome.await()
            KeyAdmission.Run -> runAndClose(recordKey, ports)
        }
    }

    private suspend fun runAndClose(recordKey: String, ports: KeyedRequestActions): KeyOutcome {
        var outcome: KeyOutcome = INTERRUPTED
        try {
            outcome = ports.run()
        } finally {
            table.close(recordKey, outcome)
        }
        return outcome
    }

    /** The record is opened before the claim, so that resends to this entry join a single claim. */
    private suspend fun handleCallerKey(request: KeyedRequest, ports: KeyedRequestActions): KeyOutcome {
        val recordKey = recordKeyOf(request)
        val now = nowMs()
        return when (val admission = table.open(recordKey, now, request.fingerprint, now)) {
            is KeyAdmission.Decided -> admission.outcome
            is KeyAdmission.Join -> admission.outcome.await()
            KeyAdmission.Run -> claimAndRun(recordKey, request, now, ports)
        }
    }

    private suspend fun claimAndRun(
        recordKey: String,
        request: KeyedRequest,
        now: Long,
        ports: KeyedRequestActions,
    ): KeyOutcome {
        val result = try {
            claim(store, recordKey, IssuedKey(self, now, random.nextLong().toULong().toString(NONCE_RADIX)))
        } catch (e: CancellationException) {
            table.release(recordKey, UNAVAILABLE)
            throw e
        }
        val owned = (result as? ClaimResult.Owned)?.claim
        if (owned != null && owned.owner == self && !table.expired(owned.issuedMs, nowMs())) {
            return runAndClose(recordKey, ports)
        }
        var outcome: KeyOutcome = INTERRUPTED
        try {
            outcome = resolveElsewhere(result, request, ports)
        } finally {
            table.release(recordKey, outcome)
        }
        return outcome
    }

    private suspend fun resolveElsewhere(
        result: ClaimResult,
        request: KeyedRequest,
        ports: KeyedRequestActions,
    ): KeyOutcome =
        when (result) {
            ClaimResult.Unavailable -> UNAVAILABLE
            ClaimResult.Expired -> EXPIRED
            is ClaimResult.Owned -> when (val route = routeToOwner(result.claim, self, hasEnded)) {
                is KeyRoute.Forward -> forward(route.owner, request.copy(claim = result.claim), ports)
                is KeyRoute.Unknown -> KeyOutcome.Refused(route.reason)
                else -> EXPIRED
            }
        }

    /**
     * A request is forwarded at most once, since two entries with different views could forward it to each other
     * forever.
     */
    private suspend fun forward(owner: EntryRef, request: KeyedRequest, ports: KeyedRequestActions): KeyOutcome =
        if (request.forwarded) UNREACHABLE else ports.forward(owner, request.copy(forwarded = true))

    private fun recordKeyOf(request: KeyedRequest) = request.scope + "/" + request.key

    private companion object {
        const val NONCE_RADIX = 36
        val UNAVAILABLE = KeyOutcome.Refused(RefusalReason.CLAIM_UNAVAILABLE)
        val EXPIRED = KeyOutcome.Refused(RefusalReason.KEY_EXPIRED)
        val UNREACHABLE = KeyOutcome.Refused(RefusalReason.KEY_OWNER_UNREACHABLE)

        /** A run that was cancelled or threw may have reached an upstream. */
        val INTERRUPTED = KeyOutcome.Refused(RefusalReason.CONNECTION_LOST)
    }
}
