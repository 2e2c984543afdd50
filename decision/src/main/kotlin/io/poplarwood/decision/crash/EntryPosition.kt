package io.poplarwood.decision.crash

/** Position of this entry among the [count] live ones: [index], from 0, in the order of their names. */
data class EntryPosition(val index: Int, val count: Int)
