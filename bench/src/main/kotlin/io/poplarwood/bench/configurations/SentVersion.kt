package io.poplarwood.bench.configurations

/**
 * A version of the configuration that the store has confirmed.
 *
 * @property sentNs when the store had it, as a reading of the bench's clock
 * @property newestRoute path of a route that no earlier version has
 * @property service service of the route that all versions have
 */
internal class SentVersion(val number: Int, val sentNs: Long, val newestRoute: String, val service: String)
