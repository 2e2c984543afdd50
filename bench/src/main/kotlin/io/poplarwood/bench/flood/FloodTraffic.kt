package io.poplarwood.bench.flood

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.RandomSource
import io.poplarwood.bench.virtual.FakeNetwork
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.decision.routing.AttemptResult
import kotlin.time.Duration

/** Sends the attempts of the entry in [zone] and accounts for the slots that they hold. */
internal class FloodTraffic(
    private val zone: Zone,
    private val network: FakeNetwork,
    private val random: RandomSource,
    private val settings: FloodSettings,
    val toPeer: (Command.Send) -> Unit,
) {
    /** Sends an attempt of a call of [work]; some answers are lost on the way back. */
    fun send(to: UpstreamId, work: FloodClass, deadline: Duration, done: (AttemptObservation) -> Unit) {
        val began = network.now()
        work.usage.begin(began)
        network.request(zone, to, work.size) { evidence ->
            val lost = evidence.result == AttemptResult.ANSWERED && random.nextDouble() < settings.lostPart
            val seen = if (lost) evidence.copy(result = AttemptResult.CONNECTION_LOST) else evidence
            val now = network.now()
            work.usage.end(began, now, useful = seen.result == AttemptResult.ANSWERED && now <= deadline)
            done(seen)
        }
    }
}
