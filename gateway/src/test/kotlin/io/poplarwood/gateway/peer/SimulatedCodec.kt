package io.poplarwood.gateway.peer

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.route.CallerLimits
import io.poplarwood.gateway.route.DesiredState
import io.poplarwood.gateway.route.RequestKind
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.route.RouteTable
import io.poplarwood.gateway.route.ServiceShare
import io.poplarwood.gateway.store.StateCodec
import io.poplarwood.gateway.store.StoreError
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.Upstream
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import java.nio.ByteBuffer
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * The value of a row is a desired state or the state of an upstream, as text. A desired state is its version on the
 * first line and then one route a line, with the fields of the platform's JSON.
 */
internal object SimulatedCodec : StateCodec {
    private const val MAX_DECODED = 16
    private const val MAX_KNOWN = 50_000
    private const val ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789"
    private const val ROUTES_PER_HOST = 4
    private val field = Regex("\"([a-z-]+)\":\"?([^\",}]*)")

    /** The last values decoded, since many entries decode the same one. */
    private val decoded = object : LinkedHashMap<ByteBuffer, DesiredState>() {
        override fun removeEldestEntry(eldest: Map.Entry<ByteBuffer, DesiredState>) = size > MAX_DECODED
    }

    /** Routes by line, so that hundreds of entries with thousands of routes fit into memory. */
    private val known = HashMap<String, Route>()

    override fun desiredState(value: ByteArray): Result<DesiredState, StoreError.Malformed> =
        Ok(decoded.getOrPut(ByteBuffer.wrap(value)) { parse(value.decodeToString().lines()) })

    private fun parse(lines: List<String>): DesiredState {
        if (known.size > MAX_KNOWN) known.clear()
        val routes = lines.drop(1).map { known.getOrPut(it) { route(it) } }
        return DesiredState(lines.first().toLong(), persistentMapOf(), RouteTable.of(routes), CallerLimits())
    }

    override fun upstream(key: String, value: ByteArray): Result<Upstream, StoreError.Malformed> =
        Ok(upstream(key, draining = value.decodeToString() == "draining"))

    /** The value of a desired state. */
    fun encode(
        version: Long,
        routes: List<Route>,
    ): String = (listOf("$version") + routes.map(::line)).joinToString("\n")

    /** [count] further routes. */
    fun randomRoutes(count: Int, random: Random): List<Route> = List(count / ROUTES_PER_HOST + 1) {
        val host = "${text(random, 10)}.${text(random, 4)}.example"
        List(ROUTES_PER_HOST) { randomRoute(host, random) }
    }.flatten().take(count)

    private fun randomRoute(host: String, random: Random) = Route(
        host = host,
        name = "${text(random, 8)}-${text(random, 6)}",
        prefix = "/${text(random, 6)}/${text(random, 4)}/",
        kind = RequestKind.entries[random.nextInt(RequestKind.entries.size)],
        timeout = random.nextInt(100, 9_999).milliseconds,
        target = random.nextInt(100, 999).milliseconds,
        priority = random.nextInt(4),
        maxAttempts = random.nextInt(1, 4),
        shares = persistentListOf(ServiceShare(ServiceName("svc-${random.nextInt(620)}"), 1)),
    )

    private fun text(random: Random, length: Int) = String(
        CharArray(length) {
            ALPHABET[random.nextInt(ALPHABET.length)]
        },
    )

    /** The line of [route]. */
    fun line(route: Route): String = with(route) {
        """{"host":"$host","name":"$name","prefix":"$prefix","kind":"$kind",""" +
            """"timeout-ms":${timeout.inWholeMilliseconds},"target-latency-ms":${target.inWholeMilliseconds},""" +
            """"priority":$priority,"attempts-max":$maxAttempts,"service":"${shares.first().service.value}"}"""
    }

    private fun route(line: String): Route {
        val fields = field.findAll(line).associate { it.groupValues[1] to it.groupValues[2] }
        return Route(
            host = fields.getValue("host"),
            name = fields.getValue("name"),
            prefix = fields.getValue("prefix"),
            kind = RequestKind.valueOf(fields.getValue("kind")),
            timeout = fields.getValue("timeout-ms").toInt().milliseconds,
            target = fields.getValue("target-latency-ms").toInt().milliseconds,
            priority = fields.getValue("priority").toInt(),
            maxAttempts = fields.getValue("attempts-max").toInt(),
            shares = persistentListOf(ServiceShare(ServiceName(fields.getValue("service")), 1)),
        )
    }
}
