package io.poplarwood.standins.upstream

import io.ktor.server.routing.get
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.poplarwood.api.id.Zone
import io.poplarwood.api.platform.VmRecord
import io.poplarwood.api.platform.VmRole
import io.poplarwood.api.time.Ticker
import io.poplarwood.standins.net.LOOPBACK
import io.poplarwood.standins.net.LoopbackServer
import io.poplarwood.standins.net.monotonicTicker
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One upstream as an HTTP server on loopback, with faults that can be switched on by calls and over HTTP.
 *
 * `GET /health` and `GET /load` report; paths below `/standin/` control; every other path is work.
 */
class StandInUpstream(val options: UpstreamOptions, private val ticker: Ticker = monotonicTicker()) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val life = Mutex()
    private val incarnations = AtomicInteger()
    private val times = ServiceTimeSampler(options, ticker)
    private val log = RequestStatistics()
    private val connections = ConnectionTracker(options.connectionLimit)
    private val gate = SlotLimiter(options.slots, options.queueLimit, ticker)
    private val reports = UpstreamReports(options, gate, ticker)
    private val work = RequestHandler(options, gate, times, log, reports, ::address) { crash(faults.downAfter()) }
    private var server: LoopbackServer? = null

    /** `ip:port` once started; a restart keeps it. */
    @Volatile
    var address: String = "$LOOPBACK:0"
        private set

    /** Faults in force; replaced as a whole. */
    var faults: UpstreamFaults by reports::faults

    /** Starts to listen; the first start takes a free port. */
    suspend fun start(): StandInUpstream {
        life.withLock { listen() }
        return this
    }

    /** Ends the upstream and all its connections for good. */
    suspend fun stop() {
        scope.cancel()
        life.withLock { server?.stop() }
    }

    /** Resets every connection and stops listening, then listens again after [down]; null stays down. */
    fun crash(down: Duration?) {
        log.crashes.incrementAndGet()
        val crashed = server
        crashed?.stopListening()
        connections.resetAll()
        scope.launch {
            life.withLock { crashed?.stop() }
            if (down == null) return@launch
            delay(down)
            life.withLock { listen() }
        }
    }

    /** Makes the connections that are open now silent; new ones work. Returns how many there are. */
    fun silenceConnections(): Int = connections.silence()

    /** Changes one fault and leaves the others. */
    fun fault(edit: UpstreamFaults.() -> UpstreamFaults) {
        faults = faults.edit()
    }

    /** Runs by idempotency key. */
    fun runs(): Map<String, Int> = log.runs()

    /** What it saw so far. */
    fun stats(): UpstreamStats = stats(gate, connections, log)

    /** The upstream as the platform lists it; each restart is another incarnation. */
    fun record(zone: Zone): VmRecord = VmRecord(
        role = VmRole.UPSTREAM,
        address = address,
        incarnation = "vm-${address.substringAfter(':')}-${incarnations.get()}",
        zone = zone,
        service = options.service,
        slots = options.slots,
        connectionLimit = options.connectionLimit,
    )

    private suspend fun listen() {
        incarnations.incrementAndGet()
        times.restart()
        val port = address.substringAfter(':').toInt()
        val next = LoopbackServer(port, connections::register) {
            routing {
                get("/health") { reports.health(call, log) }
                get("/load") { reports.load(call, log) }
                route("/standin") { control(this@StandInUpstream) }
                route("{...}") { handle { work.handle(call) } }
            }
        }
        address = "$LOOPBACK:${next.start()}"
        server = next
    }

    private fun UpstreamFaults.downAfter(): Duration? = downAfterCrashMs.takeIf { it >= 0 }?.milliseconds
}
