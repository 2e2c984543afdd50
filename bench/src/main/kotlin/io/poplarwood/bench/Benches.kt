package io.poplarwood.bench

import io.poplarwood.bench.answers.AnswersBench
import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.budget.BudgetBench
import io.poplarwood.bench.config.ConfigBench
import io.poplarwood.bench.configurations.ConfigurationsBench
import io.poplarwood.bench.cost.DecisionCostBench
import io.poplarwood.bench.deep.DeepBench
import io.poplarwood.bench.flood.FloodBench
import io.poplarwood.bench.limits.LimitsBench
import io.poplarwood.bench.live.DrainBench
import io.poplarwood.bench.live.FaultsBench
import io.poplarwood.bench.overhead.OverheadBench
import io.poplarwood.bench.restores.RestoresBench
import io.poplarwood.bench.routing.RoutingBench
import io.poplarwood.bench.slopes.SlopesBench
import io.poplarwood.entry.node.SystemTicker

/** All measurements in the order of `bench --list`. */
object Benches {
    /** One of each. */
    val all: List<Bench> = listOf(
        RoutingBench,
        FloodBench(),
        BudgetBench(),
        OverheadBench(),
        ConfigBench(),
        ConfigurationsBench(SystemTicker),
        RestoresBench(SystemTicker),
        AnswersBench(SystemTicker),
        DrainBench(),
        FaultsBench(),
        DeepBench(),
        SlopesBench(),
        LimitsBench(),
        DecisionCostBench,
    )
}
