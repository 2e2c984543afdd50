package io.poplarwood.bench.config

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.api.work.Target
import io.poplarwood.fleet.config.ChangeRequest

/** Documents of three classes, as users have them. */
internal object ConfigDocuments {
    fun service(number: Int) = ServiceName("service-$number")

    fun request(id: String, number: Int, expected: Long, variant: Long): ChangeRequest {
        val classes = listOf(
            ClassSpec(ClassName("checks"), Rank.URGENT, Target(servedWithinMs = 1 + variant % 1_000)),
            ClassSpec(ClassName("orders"), Rank.STANDARD, Target(keepShare = 0.3)),
            ClassSpec(ClassName("nightly"), Rank.BACKGROUND, Target(keepShare = 0.05)),
        )
        return ChangeRequest(id, "operator", ServiceDocument(service(number), classes, ClassName("checks")), expected)
    }
}
