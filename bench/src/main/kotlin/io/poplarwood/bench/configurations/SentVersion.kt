package io.poplarwood.bench.configurations

/**
 * A version of the configuration that the store has confirmed.
 *
 * @property sentNs when the store had it, by [System.nanoTime]
 * @property newestRoute path of a route that no earlier version has
 * @property service service of the route that all versions have
 */
internal class SentVersion(val number: Int, val sentNs: Long, val newestRoute: String, val service: String)
