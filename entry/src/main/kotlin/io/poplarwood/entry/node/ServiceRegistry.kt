package io.poplarwood.entry.node

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.decision.budget.ProbeBudget
import io.poplarwood.decision.crash.CrashTable
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.dispatch.DispatcherSettings
import io.poplarwood.decision.dispatch.ServiceDispatcher
import io.poplarwood.decision.explain.ExplainLog
import io.poplarwood.decision.routing.Router
import io.poplarwood.decision.routing.RouterSettings
import io.poplarwood.decision.routing.SlotRouter
import io.poplarwood.decision.routing.UpstreamView
import io.poplarwood.entry.runtime.DispatcherRuntime
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import java.util.concurrent.ConcurrentHashMap

/**
 * The services of this entry. One coroutine makes all changes; any thread may read and call [tick].
 *
 * @param executeCommand executes the commands that are not for a call
 */
internal class ServiceRegistry(
    private val settings: NodeSettings,
    private val ticker: Ticker,
    private val random: RandomSource,
    private val explainLog: ExplainLog,
    private val crashTable: CrashTable,
    private val executeCommand: (ServiceName, Command) -> Unit,
) {
    private val runtimes = ConcurrentHashMap<ServiceName, ServiceRuntime>()
    private val upstreamViews = ConcurrentHashMap<ServiceName, ImmutableList<UpstreamView>>()
    private var sharingEntries: ImmutableList<EntryRef> = persistentListOf()

    /** Runtimes of the previous incarnation, ticked so that their calls in flight can end. */
    @Volatile
    private var retiredRuntimes: List<ServiceRuntime> = emptyList()

    /** All services that have a document. */
    val all: Collection<ServiceRuntime> get() = runtimes.values

    /** The runtime of [service]; null when the service has no document. */
    operator fun get(service: ServiceName): ServiceRuntime? = runtimes[service]

    /** Puts [document] into force at this entry, whose incarnation is [self]. */
    fun configure(self: EntryRef, document: ServiceDocument) {
        val existing = runtimes[document.service]
        if (existing != null) existing.configure(document) else createRuntime(self, document)
    }

    /** Replaces the upstreams of [service]. */
    fun updateUpstreams(service: ServiceName, list: ImmutableList<UpstreamView>) {
        upstreamViews[service] = list
        runtimes[service]?.updateUpstreams(list)
    }

    /** Replaces the entries that share upstreams. */
    fun updateEntries(list: ImmutableList<EntryRef>) {
        sharingEntries = list
        for (runtime in runtimes.values) runtime.updateEntries(list)
    }

    /**
     * Continues under the incarnation [self]. Leases belong to an incarnation, so new calls use new routers; calls in
     * flight end with the old ones.
     */
    fun adoptIncarnation(self: EntryRef) {
        val old = runtimes.values.toList()
        for (runtime in old) createRuntime(self, runtime.document)
        retiredRuntimes = old
    }

    /** Runs the periodic work of every service. */
    fun tick() {
        for (runtime in runtimes.values) runtime.tick()
        for (runtime in retiredRuntimes) runtime.tick()
    }

    /** Takes a probe of the upstream at [address] from the budget of its service; false when none is left. */
    fun tryTakeProbe(address: String): Boolean {
        val service = upstreamViews.entries.firstOrNull { (_, list) -> list.any { it.id.address == address } }?.key
        return service != null && runtimes[service]?.tryTakeProbe() == true
    }

    private fun createRuntime(self: EntryRef, document: ServiceDocument) {
        val probeBudget = ProbeBudget(settings.budget.maxEntries, settings.seat, ticker)
        lateinit var router: Router
        val runner = DispatcherRuntime(
            create = { emit ->
                router = createRouter(self, emit)
                createDispatcher(document, probeBudget, router, emit)
            },
            executeCommand = { executeCommand(document.service, it) },
        )
        val runtime = ServiceRuntime(document, probeBudget, router, runner)
        runtime.updateEntries(sharingEntries)
        upstreamViews[document.service]?.let(runtime::updateUpstreams)
        runtimes[document.service] = runtime
    }

    private fun createRouter(self: EntryRef, emit: (Command) -> Unit): Router {
        val routerRandom = SplitMix(random.nextLong())
        val wantBudget = { RouterSettings.leaseBytesPerService(runtimes.size) }
        val routerSettings = RouterSettings(settings.zone, leaseBytesPerSecond = wantBudget)
        return SlotRouter(self, routerSettings, ticker, routerRandom) { to, message -> emit(Command.Send(to, message)) }
    }

    private fun createDispatcher(
        document: ServiceDocument,
        probeBudget: ProbeBudget,
        router: Router,
        emit: (Command) -> Unit,
    ): ServiceDispatcher {
        val dispatcherRandom = SplitMix(random.nextLong())
        val dispatcherSettings = DispatcherSettings()
        return ServiceDispatcher(
            document,
            dispatcherSettings,
            ticker,
            dispatcherRandom,
            router,
            explainLog,
            crashTable,
            probeBudget,
            emit,
        )
    }
}
