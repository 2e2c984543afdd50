package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.decision.admission.WaitingCall
import io.poplarwood.decision.explain.AdmittedBy

/** A slot given to a waiting call. */
internal class SlotGrant(
    val row: WaitingCall,
    val upstream: UpstreamId,
    val considered: Int,
    val by: AdmittedBy,
)
