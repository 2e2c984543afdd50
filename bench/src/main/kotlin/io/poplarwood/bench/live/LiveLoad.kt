package io.poplarwood.bench.live

import io.poplarwood.bench.load.LoadClass
import kotlin.time.Duration.Companion.milliseconds

/** Load of a [LiveCell]: checks, orders with idempotency keys and long uploads, about a third of the slots. */
internal object LiveLoad {
    val classes: List<LoadClass> = listOf(
        LoadClass("checks", LiveCell.SERVICE, "GET", "/stock", 120.0, 10.milliseconds, target = 500.milliseconds),
        LoadClass("orders", LiveCell.SERVICE, "POST", "/orders", 60.0, 20.milliseconds, 200, keyed = true),
        LoadClass("uploads", LiveCell.SERVICE, "PUT", "/artwork", 8.0, 250.milliseconds, 300_000),
    )
}
