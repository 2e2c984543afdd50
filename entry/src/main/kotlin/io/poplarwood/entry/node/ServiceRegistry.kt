package io.poplarwood.entry.node

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.random.Randomness
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.decision.budget.MeasuringBudget
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
 * The services of this entry. Changes come from one coroutine, reads and ticks from any.
 *
 * @param outside takes the commands that are not for a call
 */
internal class ServiceRegistry(
    private val settings: NodeSettings,
    private val ticker: Ticker,
    private val random: Randomness,
    private val explain: ExplainLog,
    private val crashes: CrashTable,
    private val outside: (ServiceName, Command) -> Unit,
) {
    private val current = ConcurrentHashMap<ServiceName, ServiceRuntime>()
    private val views = ConcurrentHashMap<ServiceName, ImmutableList<UpstreamView>>()
    private var entries: ImmutableList<EntryRef> = persistentListOf()

    /** Runtimes of an earlier run of this entry, ticked until their calls have ended. */
    @Volatile
    private var retired: List<ServiceRuntime> = emptyList()

    /** All services that have a document. */
    val all: Collection<ServiceRuntime> get() = current.values

    /** The runtime of [service], or null when it has no document. */
    operator fun get(service: ServiceName): ServiceRuntime? = current[service]

    /** Brings [document] into force at this entry, known as [self]. */
    fun configure(self: EntryRef, document: ServiceDocument) {
        val known = current[document.service]
        if (known != null) known.configure(document) else create(self, document)
    }

    /** Replaces the upstreams of [service]. */
    fun upstreams(service: ServiceName, list: ImmutableList<UpstreamView>) {
        views[service] = list
        current[service]?.upstreams(list)
    }

    /** Replaces the entries that share upstreams. */
    fun entries(list: ImmutableList<EntryRef>) {
        entries = list
        for (s in current.values) s.entries(list)
    }

    /**
     * Continues under the name [self]. Leases belong to the name, so new calls get new routers; calls in flight end
     * with the old ones.
     */
    fun rename(self: EntryRef) {
        val old = current.values.toList()
        for (s in old) create(self, s.document)
        retired = old
    }

    /** Runs the periodic systems of every service. */
    fun tick() {
        for (s in current.values) s.tick()
        for (s in retired) s.tick()
    }

    /** Takes a probe of the upstream at [address] from the budget of its service. */
    fun takeProbe(address: String): Boolean {
        val service = views.entries.firstOrNull { (_, list) -> list.any { it.id.address == address } }?.key
        return service != null && current[service]?.takeProbe() == true
    }

    private fun create(self: EntryRef, document: ServiceDocument) {
        val measuring = MeasuringBudget(settings.budget.maxEntries, settings.seat, ticker)
        lateinit var router: Router
        val runner = DispatcherRuntime(
            create = { emit ->
                router = router(self, emit)
                dispatcher(document, measuring, router, emit)
            },
            outside = { outside(document.service, it) },
        )
        val made = ServiceRuntime(document, measuring, router, runner)
        made.entries(entries)
        views[document.service]?.let(made::upstreams)
        current[document.service] = made
    }

    private fun router(self: EntryRef, emit: (Command) -> Unit): Router {
        val own = SplitMix(random.nextLong())
        val share = { RouterSettings.wantShare(current.size) }
        val routing = RouterSettings(settings.zone, wantBytesPerSecond = share)
        return SlotRouter(self, routing, ticker, own) { to, m -> emit(Command.Send(to, m)) }
    }

    private fun dispatcher(
        document: ServiceDocument,
        measuring: MeasuringBudget,
        router: Router,
        emit: (Command) -> Unit,
    ): ServiceDispatcher {
        val own = SplitMix(random.nextLong())
        val policy = DispatcherSettings()
        return ServiceDispatcher(document, policy, ticker, own, router, explain, crashes, measuring, emit)
    }
}
