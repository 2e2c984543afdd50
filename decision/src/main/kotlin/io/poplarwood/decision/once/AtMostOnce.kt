package io.poplarwood.decision.once

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.platform.TableStore
import io.poplarwood.api.random.Randomness
import kotlin.coroutines.cancellation.CancellationException

/**
 * Takes requests with keys to the one run of an entry that may dispatch them.
 *
 * @param isGone whether membership holds a run for gone
 * @param nowMs wall clock in milliseconds since the epoch
 */
class AtMostOnce(
    private val self: EntryRef,
    private val table: KeyTable,
    private val store: TableStore,
    private val isGone: (EntryRef) -> Boolean,
    private val nowMs: () -> Long,
    private val random: Randomness,
) {
    /** Prefix that the directory hands out for this entry. */
    fun prefix(): String = IssuedKey.prefix(self, nowMs())

    /** Runs [request] here, joins the one that runs, has its owner decide, or answers for it. */
    suspend fun handle(request: KeyedRequest, ports: KeyPorts): KeyOutcome {
        val claim = request.claim
        val route = if (claim != null) routeToOwner(claim, self, isGone) else routeKey(request.key, self, isGone)
        return when (route) {
            is KeyRoute.Here -> here(request, route.key, ports)
            is KeyRoute.Forward -> forward(route.owner, request, ports)
            is KeyRoute.Unknown -> KeyOutcome.Refused(route.reason)
            KeyRoute.Claim -> claimed(request, ports)
        }
    }

    private suspend fun here(request: KeyedRequest, key: IssuedKey, ports: KeyPorts): KeyOutcome {
        val name = nameOf(request)
        return when (val admission = table.open(name, key.issuedMs, request.fingerprint, nowMs())) {
            is KeyAdmission.Known -> admission.outcome
            is KeyAdmission.Join -> admission.outcome.await()
            KeyAdmission.Run -> runAndClose(name, ports)
        }
    }

    private suspend fun runAndClose(name: String, ports: KeyPorts): KeyOutcome {
        var outcome: KeyOutcome = INTERRUPTED
        try {
            outcome = ports.run()
        } finally {
            table.close(name, outcome)
        }
        return outcome
    }

    /** The record is opened before the claim, so that resends to this entry join one claim. */
    private suspend fun claimed(request: KeyedRequest, ports: KeyPorts): KeyOutcome {
        val name = nameOf(request)
        val now = nowMs()
        return when (val admission = table.open(name, now, request.fingerprint, now)) {
            is KeyAdmission.Known -> admission.outcome
            is KeyAdmission.Join -> admission.outcome.await()
            KeyAdmission.Run -> claimAndRun(name, request, now, ports)
        }
    }

    private suspend fun claimAndRun(name: String, request: KeyedRequest, now: Long, ports: KeyPorts): KeyOutcome {
        val result = try {
            claim(store, name, IssuedKey(self, now, random.nextLong().toULong().toString(NONCE_RADIX)))
        } catch (e: CancellationException) {
            table.release(name, UNAVAILABLE)
            throw e
        }
        val owned = (result as? ClaimResult.Owned)?.claim
        if (owned != null && owned.owner == self && !table.expired(owned.issuedMs, nowMs())) {
            return runAndClose(name, ports)
        }
        var outcome: KeyOutcome = INTERRUPTED
        try {
            outcome = elsewhere(result, request, ports)
        } finally {
            table.release(name, outcome)
        }
        return outcome
    }

    private suspend fun elsewhere(result: ClaimResult, request: KeyedRequest, ports: KeyPorts): KeyOutcome =
        when (result) {
            ClaimResult.Unavailable -> UNAVAILABLE
            ClaimResult.Expired -> EXPIRED
            is ClaimResult.Owned -> when (val route = routeToOwner(result.claim, self, isGone)) {
                is KeyRoute.Forward -> forward(route.owner, request.copy(claim = result.claim), ports)
                is KeyRoute.Unknown -> KeyOutcome.Refused(route.reason)
                else -> EXPIRED
            }
        }

    /** Two entries with different views must not pass a request to and fro. */
    private suspend fun forward(owner: EntryRef, request: KeyedRequest, ports: KeyPorts): KeyOutcome =
        if (request.forwarded) UNREACHABLE else ports.forward(owner, request.copy(forwarded = true))

    private fun nameOf(request: KeyedRequest) = request.scope + "/" + request.key

    private companion object {
        const val NONCE_RADIX = 36
        val UNAVAILABLE = KeyOutcome.Refused(RefusalReason.CLAIM_UNAVAILABLE)
        val EXPIRED = KeyOutcome.Refused(RefusalReason.KEY_EXPIRED)
        val UNREACHABLE = KeyOutcome.Refused(RefusalReason.KEY_OWNER_UNREACHABLE)

        /** A run that was cancelled or threw may have reached an upstream. */
        val INTERRUPTED = KeyOutcome.Refused(RefusalReason.CONNECTION_LOST)
    }
}
