package io.poplarwood.decision.routing

/** Identifies one attempt's slot at the router that granted it. */
@JvmInline
value class SlotId(val value: Long)
