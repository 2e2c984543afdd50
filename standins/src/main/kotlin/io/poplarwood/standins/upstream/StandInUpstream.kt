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
    private val lifecycleMutex = Mutex()
    private val incarnationCount = AtomicInteger()
    private val serviceTimes = ServiceTimeSampler(options, ticker)
    private val statistics = RequestStatistics()
    private val connections = ConnectionTracker(options.connectionLimit)
    private val slotLimiter = SlotLimiter(options.slots, options.maxQueued, ticker)
    private val reports = UpstreamReports(options, slotLimiter, ticker)
    private val requestHandler =
        RequestHandler(options, slotLimiter, serviceTimes, statistics, reports, ::address) {
            crash(faults.downtimeAfterCrash())
        }
    private var server: LoopbackServer? = null

    /** `ip:port` once started; a restart keeps it. */
    @Volatile
    var address: String = "$LOOPBACK:0"
        private set

    /** Faults in force; replaced as a whole. */
    var faults: UpstreamFaults by reports::faults

    /** Starts to listen; the first start takes a free port. */
    suspend fun start(): StandInUpstream {
        lifecycleMutex.withLock { listen() }
        return this
    }

    /** Ends the upstream and all its connections for good. */
    suspend fun stop() {
        scope.cancel()
        lifecycleMutex.withLock { server?.stop() }
    }

    /** Resets every connection and stops listening, then listens again after [downtime]; null stays down. */
    fun crash(downtime: Duration?) {
        statistics.crashes.incrementAndGet()
        val crashed = server
        crashed?.stopListening()
        connections.resetAll()
        scope.launch {
            lifecycleMutex.withLock { crashed?.stop() }
            if (downtime == null) return@launch
            delay(downtime)
            lifecycleMutex.withLock { listen() }
        }
    }

    /** Makes the connections that are open now silent; new ones work. Returns how many there are. */
    fun silenceConnections(): Int = connections.silenceOpen()

    /** Changes one fault and leaves the others. */
    fun fault(edit: UpstreamFaults.() -> UpstreamFaults) {
        faults = faults.edit()
    }

    /** Runs by idempotency key. */
    fun runs(): Map<String, Int> = statistics.runs()

    /** What it saw so far. */
    fun stats(): UpstreamStats = collectStats(slotLimiter, connections, statistics)

    /** The upstream as the platform lists it; each restart is another incarnation. */
    fun record(zone: Zone): VmRecord = VmRecord(
        role = VmRole.UPSTREAM,
        address = address,
        incarnation = "vm-${address.substringAfter(':')}-${incarnationCount.get()}",
        zone = zone,
        service = options.service,
        slots = options.slots,
        connectionLimit = options.connectionLimit,
    )

    private suspend fun listen() {
        incarnationCount.incrementAndGet()
        serviceTimes.restart()
        val port = address.substringAfter(':').toInt()
        val newServer = LoopbackServer(port, connections::register) {
            routing {
                get("/health") { reports.respondHealth(call, statistics) }
                get("/load") { reports.respondLoad(call, statistics) }
                route("/standin") { controlRoutes(this@StandInUpstream) }
                route("{...}") { handle { requestHandler.handle(call) } }
            }
        }
        address = "$LOOPBACK:${newServer.start()}"
        server = newServer
    }

    private fun UpstreamFaults.downtimeAfterCrash(): Duration? = downAfterCrashMs.takeIf { it >= 0 }?.milliseconds
}
