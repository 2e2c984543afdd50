package io.poplarwood.entry.node

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import io.poplarwood.api.http.Headers
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.platform.RowWrite
import io.poplarwood.api.platform.TableStore
import io.poplarwood.api.random.RandomSource
import io.poplarwood.decision.once.IdempotencyCoordinator
import io.poplarwood.decision.once.IssuedKey
import io.poplarwood.decision.once.KeyOutcome
import io.poplarwood.decision.once.KeyTable
import io.poplarwood.decision.once.KeyedRequest
import io.poplarwood.decision.once.KeyedRequestActions
import io.poplarwood.decision.once.StoredHeader
import io.poplarwood.decision.once.StoredResponse
import io.poplarwood.entry.once.KeyService
import io.poplarwood.peer.forward.Body
import io.poplarwood.peer.forward.BodyTruncatedException
import io.poplarwood.peer.forward.ForwardFailure
import io.poplarwood.peer.forward.ForwardResponse
import io.poplarwood.peer.forward.OwnerForwarder
import io.poplarwood.peer.message.ForwardHead
import io.poplarwood.peer.message.ForwardResponseHead
import io.poplarwood.peer.message.HeaderLine
import kotlinx.coroutines.channels.Channel
import java.io.ByteArrayOutputStream
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * Handles the idempotency keys that this entry owns and forwards requests with other keys to the owners of the keys.
 *
 * @param ownerForwarder forwards requests to peers; null before the entry has started
 */
internal class IdempotencyKeyService(
    initialRef: EntryRef,
    private val store: TableStore,
    private val members: MembershipView,
    private val clock: Clock,
    private val random: RandomSource,
    private val ownerForwarder: () -> OwnerForwarder?,
) : KeyService {
    private val keyTable = KeyTable()
    private var claimCursor = ""

    @Volatile
    private var atMostOnce = createAtMostOnce(initialRef)

    override suspend fun handle(request: KeyedRequest, ports: KeyedRequestActions): KeyOutcome = atMostOnce.handle(
        request,
        ports,
    )

    override suspend fun forward(
        owner: EntryRef,
        head: ForwardHead,
        body: ByteArray,
        timeout: Duration,
    ): Result<KeyOutcome, ForwardFailure> {
        val address = members.addressOf(owner) ?: return Err(ForwardFailure.NOT_SENT)
        val forwarder = ownerForwarder() ?: return Err(ForwardFailure.NOT_SENT)
        return forwarder.forward(address, head, bodyOf(body), timeout).map { outcomeOf(it) }
    }

    /** Converts [outcome] into the reply to the peer that forwarded the request. */
    fun reply(outcome: KeyOutcome): ForwardResponse = when (outcome) {
        is KeyOutcome.Refused -> reply(
            REFUSED_STATUS,
            listOf(HeaderLine(Headers.REASON, outcome.reason.wire)),
            EMPTY_BODY,
        )
        is KeyOutcome.Answered -> {
            val answer = outcome.answer ?: return reply(KeyOutcome.Refused(ANSWER_NOT_KEPT))
            reply(answer.status, answer.headers.map { HeaderLine(it.name, it.value) }, answer.body)
        }
    }

    /** Continues under the incarnation [self]; keys of the former incarnation are answered `unknown` from now on. */
    fun adoptIncarnation(self: EntryRef) {
        atMostOnce = createAtMostOnce(self)
    }

    /** Removes the records of keys whose lifetime has ended. */
    fun removeExpiredKeys() = keyTable.sweep(nowMs())

    /**
     * Scans one page of claims and removes those that no resent request can refer to any more. Removing a claim twice
     * is harmless.
     */
    suspend fun removeExpiredClaims() {
        val page = store.scan(CLAIM_PREFIX, claimCursor, CLAIM_PAGE_SIZE).getOrElse { return }
        claimCursor = if (page.size < CLAIM_PAGE_SIZE) "" else page.last().key
        val expired = page.filter { row ->
            val claim = IssuedKey.parse(row.value.decodeToString())
            claim != null && nowMs() - claim.issuedMs > CLAIM_RETENTION.inWholeMilliseconds
        }
        if (expired.isNotEmpty()) store.transact(expired.map { RowWrite(it.key, it.version, null) })
    }

    private fun createAtMostOnce(self: EntryRef) = IdempotencyCoordinator(
        self,
        keyTable,
        store,
        ::isRemoved,
        ::nowMs,
        random,
    )

    private fun isRemoved(ref: EntryRef): Boolean = members.addressOf(ref) == null

    private fun nowMs(): Long = clock.now().toEpochMilliseconds()

    private fun reply(status: Int, headers: List<HeaderLine>, body: ByteArray) =
        ForwardResponse(ForwardResponseHead(status, headers), bodyOf(body))

    private fun bodyOf(bytes: ByteArray): Body {
        val body = Channel<ByteArray>(Channel.UNLIMITED)
        if (bytes.isNotEmpty()) body.trySend(bytes)
        body.close()
        return body
    }

    private suspend fun outcomeOf(reply: ForwardResponse): KeyOutcome {
        val reason = reply.head.headers.firstOrNull { it.name == Headers.REASON }?.value
        if (reason != null) return KeyOutcome.Refused(REASON_BY_NAME[reason] ?: RefusalReason.KEY_OWNER_UNREACHABLE)
        val bytes = ByteArrayOutputStream()
        return try {
            for (chunk in reply.body) bytes.write(chunk)
            val headers = reply.head.headers.map { StoredHeader(it.name, it.value) }
            KeyOutcome.Answered(StoredResponse(reply.head.status, headers, bytes.toByteArray()))
        } catch (e: BodyTruncatedException) {
            KeyOutcome.Refused(RefusalReason.KEY_OWNER_UNREACHABLE)
        }
    }

    companion object {
        /** Forwarded request bodies have the same size limit as bodies that are kept for retries. */
        val TOO_LARGE: RefusalReason = RefusalReason.BODY_TOO_LARGE
        private const val REFUSED_STATUS = 0
        private const val CLAIM_PREFIX = "claim/"
        private const val CLAIM_PAGE_SIZE = 50

        /** Twice the lifetime of a key: a claim near the end of its lifetime may still lead to a first run. */
        private val CLAIM_RETENTION = 20.minutes
        private val EMPTY_BODY = ByteArray(0)
        private val ANSWER_NOT_KEPT = RefusalReason.KEY_ANSWER_NOT_KEPT
        private val REASON_BY_NAME = RefusalReason.entries.associateBy { it.wire }
    }
}
