package io.poplarwood.gateway.reach

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.net.URLDecoder
import java.net.URLEncoder
import kotlin.text.Charsets.UTF_8
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Questions between entries about which upstreams have answered lately. */
internal class ReachQueries(private val upstreams: UpstreamTable, private val ticker: Ticker) {
    /** Path of the question which of [ids] have answered within [within] before now. */
    fun path(ids: List<String>, within: Duration): String =
        "$PREFIX${within.inWholeMilliseconds}/" + ids.joinToString(",") { URLEncoder.encode(it, UTF_8) }

    /** Reply to a peer's question at [path]; null when it is something else. */
    fun reply(path: String): ByteArray? {
        if (!path.startsWith(PREFIX)) return null
        val parts = path.removePrefix(PREFIX).split('/')
        val since = ticker.now() - (parts[0].toLongOrNull() ?: return null).milliseconds
        val ids = parts.getOrNull(1)?.split(',')?.take(MAX_IDS)?.map { URLDecoder.decode(it, UTF_8) } ?: return null
        val answering = ids.filter { id ->
            upstreams[id]?.let { maxOf(it.lastAnswerAt, it.slownessAt) > since } ?: false
        }
        return Cbor.encodeToByteArray(answering)
    }

    /** The upstreams that [reply] names; none when it cannot be decoded. */
    fun parse(reply: ByteArray?): Set<String> = try {
        reply?.let { Cbor.decodeFromByteArray<List<String>>(it).toSet() }.orEmpty()
    } catch (e: SerializationException) {
        emptySet()
    } catch (e: IllegalArgumentException) {
        emptySet()
    }

    private companion object {
        const val PREFIX = "/reach/"
        const val MAX_IDS = 32
    }
}
