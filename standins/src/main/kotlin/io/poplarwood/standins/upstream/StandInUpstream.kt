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
 * A simulated upstream: an HTTP server on loopback whose faults are set by calls or over HTTP.
 *
 * `GET /health` and `GET /load` report its state, paths below `/standin/` control its faults, and every other path is
 * handled as a request that takes a slot.
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

    /** `ip:port` of the listener; port 0 before the first start. A restart after a crash reuses the address. */
    @Volatile
    var address: String = "$LOOPBACK:0"
        private set

    /** Active faults; setting this property replaces all of them. */
    var faults: UpstreamFaults by reports::faults

    /** Starts the listener, the first time on any free port. */
    suspend fun start(): StandInUpstream {
        lifecycleMutex.withLock { listen() }
        return this
    }

    /** Stops the upstream permanently and closes all its connections. */
    suspend fun stop() {
        scope.cancel()
        lifecycleMutex.withLock { server?.stop() }
    }

    /** Resets all connections and stops listening; listens again after [downtime], or never when null. */
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

    /** Silences all open connections; new connections work. Returns the number of silenced connections. */
    fun silenceConnections(): Int = connections.silenceOpen()

    /** Applies [edit] to the active faults. */
    fun fault(edit: UpstreamFaults.() -> UpstreamFaults) {
        faults = faults.edit()
    }

    /** Number of runs per idempotency key. */
    fun runs(): Map<String, Int> = statistics.runs()

    /** Statistics since the upstream was created. */
    fun stats(): UpstreamStats = collectStats(slotLimiter, connections, statistics)

    /** The entry of this upstream in the VM list; each restart is a new incarnation. */
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
