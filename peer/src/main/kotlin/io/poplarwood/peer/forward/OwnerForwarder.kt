package io.poplarwood.peer.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.poplarwood.api.random.Randomness
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
 * Passes requests to the entry that owns their keys, and answers such requests.
 *
 * Bodies stream in chunks within a window, so an exchange holds a bounded number of bytes at each side.
 *
 * @param offer sends a message unless the queue is full
 * @param put sends part of a body, waiting while the queue is full
 * @param serve answers a request that another entry forwarded here
 */
class OwnerForwarder(
    private val scope: CoroutineScope,
    private val random: Randomness,
    private val offer: (String, PeerMessage) -> Boolean,
    private val put: suspend (String, PeerMessage) -> Unit,
    private val serve: suspend (Peer, ForwardHead, Body) -> ForwardReply,
) {
    private val asked = ConcurrentHashMap<Long, ForwardExchange>()
    private val serving = ConcurrentHashMap<Pair<String, Long>, ForwardExchange>()

    /** Exchanges under way here, both ways. */
    val underWay: Int get() = asked.size + serving.size

    /** Sends a request to the entry at [address] and waits at most [timeout] for the head of its answer. */
    suspend fun forward(
        address: String,
        head: ForwardHead,
        body: Body,
        timeout: Duration,
    ): Result<ForwardReply, ForwardFailure> {
        val id = random.nextLong()
        val exchange = exchange(address, id, asking = true)
        asked[id] = exchange
        if (!offer(address, PeerMessage.Forward(id, head))) {
            asked.remove(id)
            return Err(ForwardFailure.NOT_SENT)
        }
        exchange.job = scope.launch { sendBody(exchange, id, body, ofAnswer = false) }
        val answer = try {
            withTimeoutOrNull(timeout) { exchange.answer.await() } ?: Err(ForwardFailure.TIMED_OUT)
        } catch (e: CancellationException) {
            abandon(id, exchange)
            throw e
        }
        return answer.fold(
            success = { Ok(ForwardReply(it, exchange.inflow.body(scope))) },
            failure = {
                abandon(id, exchange)
                Err(it)
            },
        )
    }

    /** Takes in a message of an exchange; returns false when [message] belongs to none. */
    fun receive(from: Peer, message: PeerMessage): Boolean {
        when (message) {
            is PeerMessage.Forward -> begin(from, message)
            is PeerMessage.ForwardAnswer -> asked[message.id]?.answer?.complete(Ok(message.head))
            is PeerMessage.BodyChunk -> chunk(from, message)
            is PeerMessage.BodyCredit -> find(
                from,
                message.id,
                message.ofAnswer.not(),
            )?.outflow?.credited(message.chunks)
            is PeerMessage.ForwardEnd -> end(from, message)
            else -> return false
        }
        return true
    }

    /** The link to [address] was lost: what was under way there may lack frames. */
    fun linkLost(address: String) {
        (asked.values + serving.values).filter { it.address == address }.forEach(ForwardExchange::lost)
        asked.values.removeIf { it.address == address }
        serving.values.removeIf { it.address == address }
    }

    private fun begin(from: Peer, message: PeerMessage.Forward) {
        val key = from.address to message.id
        if (serving.size >= MAX_SERVING || serving.containsKey(key)) {
            offer(from.address, PeerMessage.ForwardEnd(message.id, ofAnswer = true))
            return
        }
        val exchange = exchange(from.address, message.id, asking = false)
        serving[key] = exchange
        exchange.job = scope.launch(start = CoroutineStart.LAZY) { answer(from, message, exchange) }
            .also { it.invokeOnCompletion { serving.remove(key, exchange) } }
            .also { it.start() }
    }

    private suspend fun answer(from: Peer, message: PeerMessage.Forward, exchange: ForwardExchange) {
        try {
            val reply = serve(from, message.head, exchange.inflow.body(scope))
            put(from.address, PeerMessage.ForwardAnswer(message.id, reply.head))
            exchange.outflow.send(reply.body)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            offer(from.address, PeerMessage.ForwardEnd(message.id, ofAnswer = true))
        }
    }

    private suspend fun sendBody(exchange: ForwardExchange, id: Long, body: Body, ofAnswer: Boolean) {
        try {
            exchange.outflow.send(body)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            offer(exchange.address, PeerMessage.ForwardEnd(id, ofAnswer))
        }
    }

    private fun chunk(from: Peer, chunk: PeerMessage.BodyChunk) {
        val exchange = find(from, chunk.id, chunk.ofAnswer) ?: return
        if (!exchange.inflow.received(chunk)) {
            exchange.lost()
            offer(from.address, PeerMessage.ForwardEnd(chunk.id, !chunk.ofAnswer))
        }
        if (chunk.last && chunk.ofAnswer) asked.remove(chunk.id)
    }

    private fun end(from: Peer, message: PeerMessage.ForwardEnd) {
        find(from, message.id, message.ofAnswer)?.lost()
        if (message.ofAnswer) asked.remove(message.id)
    }

    private fun find(from: Peer, id: Long, ofAnswer: Boolean): ForwardExchange? =
        if (ofAnswer) asked[id] else serving[from.address to id]

    private fun abandon(id: Long, exchange: ForwardExchange) {
        if (asked.remove(id) == null) return
        exchange.lost()
        offer(exchange.address, PeerMessage.ForwardEnd(id, ofAnswer = false))
    }

    private fun exchange(address: String, id: Long, asking: Boolean): ForwardExchange {
        val inflow = BodyReceiver(
            credit = { chunks -> offer(address, PeerMessage.BodyCredit(id, ofAnswer = asking, chunks = chunks)) },
            abandoned = { if (asking) asked[id]?.let { abandon(id, it) } },
        )
        val outflow = BodySender(id, ofAnswer = !asking) { put(address, it) }
        return ForwardExchange(address, inflow, outflow)
    }

    private companion object {
        /** Requests served for other entries at once. */
        const val MAX_SERVING = 512
    }
}
