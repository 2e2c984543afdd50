package io.poplarwood.gateway.configuration

import kotlinx.coroutines.CompletableDeferred

/** Keeps the latest [size] results of an encoding, each of which is made once, however many peers ask for it. */
internal class EncodedOnce<K, V>(private val size: Int) {
    private val results = LinkedHashMap<K, CompletableDeferred<V>>()

    /** The result for [key], made by [encode] unless it is known or being made already. */
    suspend fun get(key: K, encode: suspend () -> V): V {
        results.remove(key)?.let { known ->
            results[key] = known
            return known.await()
        }
        val result = CompletableDeferred<V>()
        results[key] = result
        if (results.size > size) results.remove(results.keys.first())
        try {
            return encode().also(result::complete)
        } catch (e: Throwable) {
            results.remove(key)
            result.completeExceptionally(e)
            throw e
        }
    }
}
