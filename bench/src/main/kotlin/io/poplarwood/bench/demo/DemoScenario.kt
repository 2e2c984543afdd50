package io.poplarwood.bench.demo

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.api.work.MatchRule
import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.api.work.Target
import io.poplarwood.bench.load.LoadClass
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Two services with all three ranks, and their load: steady but for a flood of reconciliations in the middle third. */
internal object DemoScenario {
    val counter = ServiceName("counter")
    val proofroom = ServiceName("proofroom")

    /** Upstreams of each service; 3 slots each. */
    val upstreams = mapOf(counter to 6, proofroom to 4)

    const val SLOTS = 3

    val documents = listOf(
        ServiceDocument(
            counter,
            listOf(
                work("checks", Rank.URGENT, Target(servedWithinMs = 150), "/status", deadlineMs = 2_000),
                work(
                    "orders",
                    Rank.STANDARD,
                    Target(servedWithinMs = 2_000, keepShare = 0.3),
                    "/orders",
                    idempotent = false,
                ),
                work("reconciliations", Rank.BACKGROUND, Target(keepShare = 0.1), "/reconcile", idempotent = true),
            ),
            ClassName("orders"),
        ),
        ServiceDocument(
            proofroom,
            listOf(
                work("proofs", Rank.URGENT, Target(servedWithinMs = 150), "/proofs", deadlineMs = 2_000),
                work("uploads", Rank.STANDARD, Target(servedWithinMs = 2_000, keepShare = 0.4), "/artwork"),
            ),
            ClassName("uploads"),
        ),
    )

    /** Together about half of the slots without the flood; the flood alone asks for three times the slots. */
    fun load(duration: Duration): List<LoadClass> = listOf(
        LoadClass("checks", counter, "GET", "/status", 200.0, 10.milliseconds, target = 150.milliseconds),
        LoadClass("orders", counter, "POST", "/orders", 80.0, 30.milliseconds, 200, true, target = 2_000.milliseconds),
        LoadClass(
            "reconciliations",
            counter,
            "PUT",
            "/reconcile",
            50.0,
            50.milliseconds,
            2_000,
            surge = 20.0,
            surgeFrom = duration / 3,
            surgeTo = duration * 2 / 3,
        ),
        LoadClass("proofs", proofroom, "GET", "/proofs", 100.0, 15.milliseconds, target = 150.milliseconds),
        LoadClass(
            "uploads",
            proofroom,
            "PUT",
            "/artwork",
            20.0,
            100.milliseconds,
            100_000,
            target = 2_000.milliseconds,
        ),
    )

    private fun work(
        name: String,
        rank: Rank,
        target: Target,
        path: String,
        idempotent: Boolean? = null,
        deadlineMs: Long = 10_000,
    ) = ClassSpec(ClassName(name), rank, target, listOf(MatchRule(pathPrefix = path)), idempotent, deadlineMs)
}
