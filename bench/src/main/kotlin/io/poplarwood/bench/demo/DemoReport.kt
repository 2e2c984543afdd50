package io.poplarwood.bench.demo

import io.poplarwood.bench.load.LoadReport
import kotlinx.serialization.Serializable

/**
 * What a demo run showed.
 *
 * @property retried further attempts at all entries, by reason
 * @property crashes upstreams that crashed
 * @property doubleRuns idempotency keys that ran more than once
 */
@Serializable
data class DemoReport(
    val seconds: Int,
    val entries: Int,
    val upstreams: Int,
    val classes: List<LoadReport>,
    val retried: Map<String, Long>,
    val crashes: Long,
    val doubleRuns: Int,
)
