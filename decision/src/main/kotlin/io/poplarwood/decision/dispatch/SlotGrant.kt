package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.decision.admission.PendingCall
import io.poplarwood.decision.explain.AdmittedBy

/** A slot granted to a waiting call. */
internal class SlotGrant(
    val pending: PendingCall,
    val upstream: UpstreamId,
    val considered: Int,
    val by: AdmittedBy,
)
