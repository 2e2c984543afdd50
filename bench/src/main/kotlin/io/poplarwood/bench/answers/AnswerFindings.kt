package io.poplarwood.bench.answers

/**
 * What [sendings] got, held against what the upstreams ran.
 *
 * @property connections connections that carried requests to upstreams
 * @property errors errors that the entries logged
 */
internal class AnswerFindings(
    private val sendings: List<Sending>,
    private val runs: Map<Int, UpstreamRun>,
    val connections: Int,
    val errors: Int,
) {
    private val runsById = runs.values.groupBy { it.id }
    private val sendingsById = sendings.groupBy { it.id }

    /** Number of sendings. */
    val sent: Int = sendings.size

    /** Number of sendings that were answered with success. */
    val served: Int = sendings.count { it.status in 200..299 }

    /** Sendings that got the answer to another request. */
    val otherRequests: List<Sending> = sendings.filter { runOf(it)?.id?.equals(it.id) == false }

    /** Sendings that got the answer of a run that had begun before they were sent. */
    val earlierRuns: List<Sending> = sendings.filter { (runOf(it)?.startedNs ?: Long.MAX_VALUE) < it.sentNs }

    /** Sendings that got an upstream's answer with another status than every run since they were sent had. */
    val otherStatus: List<Sending> = sendings.filter { sending ->
        val own = ownRuns(sending)
        sending.body.isNotEmpty() && own.isNotEmpty() && own.none { it.status == sending.status }
    }

    /** Sendings whose answer promises that they have not run, though they have. */
    val brokenPromises: List<Sending> = sendings.filter { it.status == 503 && ownRuns(it).isNotEmpty() }

    /** Sendings of requests that may run only once, of which two or more runs came. */
    val runTwice: List<Sending> = sendings.filter { !it.mayRunAgain && ownRuns(it).size > 1 }

    /** At most [count] descriptions of what was wrong, with times in milliseconds since the first sending. */
    fun examples(count: Int): List<String> =
        (otherRequests + otherStatus + earlierRuns + brokenPromises).distinct().take(count).map(::describe)

    private fun describe(sending: Sending): String {
        val answeredBy = runOf(sending)?.let(::describe) ?: "no run"
        val own = ownRuns(sending).joinToString(transform = ::describe).ifEmpty { "none" }
        val times = "sent ${ms(sending.sentNs)}, answered ${ms(sending.endedNs)}"
        return "${sending.id}: $times with ${sending.status} of $answeredBy; own: $own"
    }

    private fun describe(run: UpstreamRun) = "run ${run.number} begun ${ms(run.startedNs)} status ${run.status}"

    private fun ms(atNs: Long) = (atNs - sendings.minOf { it.sentNs }) / NS_PER_MS

    private fun runOf(sending: Sending) = sending.body.substringAfterLast('/', "").toIntOrNull()?.let(runs::get)

    /** The runs since [sending] was sent, and before its request was sent again. */
    private fun ownRuns(sending: Sending): List<UpstreamRun> {
        val next = sendingsById.getValue(sending.id).filter { it.sentNs > sending.sentNs }.minOfOrNull { it.sentNs }
        val until = next ?: Long.MAX_VALUE
        return runsById[sending.id].orEmpty().filter { it.startedNs in sending.sentNs..<until }
    }

    private companion object {
        const val NS_PER_MS = 1_000_000
    }
}
