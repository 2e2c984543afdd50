package io.poplarwood.bench.answers

import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.bench.configurations.nowNs
import io.poplarwood.platform.standin.StandInCaller
import java.io.IOException

/**
 * A caller that sends some requests again under their id, each time on a new connection.
 *
 * @param entries addresses of the entries; each connection goes to one of them
 * @param record called with each sending that has ended
 */
internal class RepeatingCaller(
    private val name: String,
    private val entries: List<String>,
    private val case: AnswersCase,
    private val ticker: Ticker,
    private val random: RandomSource,
    private val record: (Sending) -> Unit,
) {
    private var connection: StandInCaller? = null
    private var requests = 0

    /** Sends requests one after the other until [untilNs]. */
    fun run(untilNs: Long) {
        while (ticker.nowNs < untilNs) {
            request("$name-${requests++}", mayRunAgain = random.nextInt(ONCE_IN) != 0)
            Thread.sleep(PAUSE_MS)
        }
        disconnect()
    }

    private fun request(id: String, mayRunAgain: Boolean) {
        repeat(MAX_SENDINGS) {
            val sending = send(id, mayRunAgain)
            record(sending)
            if (!sendsAgain(sending)) return
            disconnect()
        }
    }

    /** A request that may run only once is sent again only when it has certainly not run. */
    private fun sendsAgain(sending: Sending): Boolean = when {
        sending.status == SERVED -> sending.mayRunAgain && random.nextDouble() < case.repeatServedShare
        !case.repeatFailed -> false
        else -> sending.mayRunAgain || sending.status == NOT_RUN
    }

    private fun send(id: String, mayRunAgain: Boolean): Sending {
        val path = if (mayRunAgain) "/read/$id" else "/once/$id"
        val sentNs = ticker.nowNs
        val reply = try {
            connected().call(
                if (mayRunAgain) "GET" else "POST",
                path,
                id,
                deadlineMs = DEADLINE_MS,
                body = bodyOf(mayRunAgain),
            )
        } catch (e: IOException) {
            disconnect()
            null
        }
        if (reply?.headers?.get("connection") == "close") disconnect()
        val body = reply?.takeIf { it.signed }?.body.orEmpty()
        return Sending(id, mayRunAgain, sentNs, ticker.nowNs, reply?.status ?: 0, body)
    }

    private fun bodyOf(mayRunAgain: Boolean) = if (mayRunAgain) null else "order"

    private fun connected() =
        connection ?: StandInCaller(entries[random.nextInt(entries.size)]).also { connection = it }

    private fun disconnect() {
        connection?.close()
        connection = null
    }

    private companion object {
        const val SERVED = 200
        const val NOT_RUN = 503
        const val MAX_SENDINGS = 3
        const val ONCE_IN = 4
        const val DEADLINE_MS = 1_000
        const val PAUSE_MS = 4L
    }
}
