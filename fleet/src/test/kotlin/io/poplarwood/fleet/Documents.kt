package io.poplarwood.fleet

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.api.work.Target
import io.poplarwood.fleet.config.ChangeRequest

/** A valid document of [service]; different values of [within], in milliseconds, give different documents. */
internal fun document(service: String = "counter", within: Long = 100) = ServiceDocument(
    ServiceName(service),
    listOf(
        ClassSpec(ClassName("checks"), Rank.URGENT, Target(servedWithinMs = within)),
        ClassSpec(ClassName("orders"), Rank.STANDARD, Target(keepShare = 0.3)),
    ),
    ClassName("checks"),
)

/** A request to change the document of [service]. */
internal fun request(id: String, service: String = "counter", expected: Long = 0, within: Long = 100) =
    ChangeRequest(id, "ana", document(service, within), expected)
