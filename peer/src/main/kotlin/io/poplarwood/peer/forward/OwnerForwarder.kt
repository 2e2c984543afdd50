package io.poplarwood.peer.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.poplarwood.api.random.RandomSource
import io.poplarwood.fleet.message.Peer
import io.poplarwood.peer.message.ForwardHead
import io.poplarwood.peer.message.PeerMessage
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * Forwards requests to the entries that own their idempotency keys, and serves requests that other entries forward
 * here.
 *
 * Bodies are streamed in chunks with credit-based flow control, so that each side buffers a bounded number of bytes per
 * exchange.
 *
 * @param trySend sends a message to the entry at an address; returns false when the send queue is full
 * @param sendBodyPart sends part of a body to the entry at an address; suspends while the send queue is full
 * @param serve answers a request that another entry forwarded here
 */
class OwnerForwarder(
    private val scope: CoroutineScope,
    private val random: RandomSource,
    private val trySend: (String, PeerMessage) -> Boolean,
    private val sendBodyPart: suspend (String, PeerMessage) -> Unit,
    private val serve: suspend (Peer, ForwardHead, Body) -> ForwardResponse,
) {
    private val outgoing = ConcurrentHashMap<Long, ForwardExchange>()
    private val incoming = ConcurrentHashMap<Pair<String, Long>, ForwardExchange>()

    /** Number of exchanges in flight in both directions. */
    val inFlight: Int get() = outgoing.size + incoming.size

    /** Sends a request to the entry at [address] and waits at most [timeout] for the head of the response. */
    suspend fun forward(
        address: String,
        head: ForwardHead,
        body: Body,
        timeout: Duration,
    ): Result<ForwardResponse, ForwardFailure> {
        val id = random.nextLong()
        val exchange = newExchange(address, id, isForwarder = true)
        outgoing[id] = exchange
        if (!trySend(address, PeerMessage.Forward(id, head))) {
            outgoing.remove(id)
            return Err(ForwardFailure.NOT_SENT)
        }
        exchange.job = scope.launch { sendBody(exchange, id, body) }
        val answer = try {
            withTimeoutOrNull(timeout) { exchange.replyHead.await() } ?: Err(ForwardFailure.TIMED_OUT)
        } catch (e: CancellationException) {
            abandon(id, exchange)
            throw e
        }
        return answer.fold(
            success = { Ok(ForwardResponse(it, exchange.bodyReceiver.body(scope))) },
            failure = {
                abandon(id, exchange)
                Err(it)
            },
        )
    }

    /** Handles [message] if it belongs to an exchange; returns false for every other kind of message. */
    fun receive(from: Peer, message: PeerMessage): Boolean {
        when (message) {
            is PeerMessage.Forward -> startServing(from, message)
            is PeerMessage.ForwardAnswer -> outgoing[message.id]?.replyHead?.complete(Ok(message.head))
            is PeerMessage.BodyChunk -> receiveChunk(from, message)
            is PeerMessage.BodyCredit -> findExchange(
                from,
                message.id,
                message.ofAnswer.not(),
            )?.bodySender?.addCredit(message.chunks)
            is PeerMessage.ForwardEnd -> endExchange(from, message)
            else -> return false
        }
        return true
    }

    /** Fails all exchanges with the entry at [address]: the link was lost, and frames of theirs may be missing. */
    fun linkLost(address: String) {
        (outgoing.values + incoming.values).filter { it.address == address }.forEach(ForwardExchange::fail)
        outgoing.values.removeIf { it.address == address }
        incoming.values.removeIf { it.address == address }
    }

    private fun startServing(from: Peer, message: PeerMessage.Forward) {
        val key = from.address to message.id
        if (incoming.size >= MAX_INCOMING || incoming.containsKey(key)) {
            trySend(from.address, PeerMessage.ForwardEnd(message.id, ofAnswer = true))
            return
        }
        val exchange = newExchange(from.address, message.id, isForwarder = false)
        incoming[key] = exchange
        exchange.job = scope.launch(start = CoroutineStart.LAZY) { serveRequest(from, message, exchange) }
            .also { it.invokeOnCompletion { incoming.remove(key, exchange) } }
            .also { it.start() }
    }

    private suspend fun serveRequest(from: Peer, message: PeerMessage.Forward, exchange: ForwardExchange) {
        try {
            val reply = serve(from, message.head, exchange.bodyReceiver.body(scope))
            sendBodyPart(from.address, PeerMessage.ForwardAnswer(message.id, reply.head))
            exchange.bodySender.send(reply.body)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            trySend(from.address, PeerMessage.ForwardEnd(message.id, ofAnswer = true))
        }
    }

    private suspend fun sendBody(exchange: ForwardExchange, id: Long, body: Body) {
        try {
            exchange.bodySender.send(body)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            trySend(exchange.address, PeerMessage.ForwardEnd(id, ofAnswer = false))
            // The owner may end its work without a reply.
            exchange.replyHead.complete(Err(ForwardFailure.LOST))
        }
    }

    private fun receiveChunk(from: Peer, chunk: PeerMessage.BodyChunk) {
        val exchange = findExchange(from, chunk.id, chunk.ofAnswer) ?: return
        if (!exchange.bodyReceiver.receive(chunk)) {
            exchange.fail()
            trySend(from.address, PeerMessage.ForwardEnd(chunk.id, !chunk.ofAnswer))
        }
        if (chunk.last && chunk.ofAnswer) outgoing.remove(chunk.id)
    }

    private fun endExchange(from: Peer, message: PeerMessage.ForwardEnd) {
        findExchange(from, message.id, message.ofAnswer)?.fail()
        if (message.ofAnswer) outgoing.remove(message.id)
    }

    private fun findExchange(from: Peer, id: Long, ofAnswer: Boolean): ForwardExchange? =
        if (ofAnswer) outgoing[id] else incoming[from.address to id]

    private fun abandon(id: Long, exchange: ForwardExchange) {
        if (outgoing.remove(id) == null) return
        exchange.fail()
        trySend(exchange.address, PeerMessage.ForwardEnd(id, ofAnswer = false))
    }

    private fun newExchange(address: String, id: Long, isForwarder: Boolean): ForwardExchange {
        val bodyReceiver = BodyReceiver(
            grantCredit = { chunks ->
                trySend(address, PeerMessage.BodyCredit(id, ofAnswer = isForwarder, chunks = chunks))
            },
            onAbandoned = { if (isForwarder) outgoing[id]?.let { abandon(id, it) } },
        )
        val bodySender = BodySender(id, ofAnswer = !isForwarder) { sendBodyPart(address, it) }
        return ForwardExchange(address, bodyReceiver, bodySender)
    }

    private companion object {
        /** Largest number of requests served for other entries at the same time. */
        const val MAX_INCOMING = 512
    }
}
