package io.poplarwood.bench.answers

/**
 * One run of a request at an upstream.
 *
 * @property startedNs when the upstream had read the request, as a reading of the bench's clock
 */
internal class UpstreamRun(val number: Int, val id: String, val startedNs: Long, val status: Int)
