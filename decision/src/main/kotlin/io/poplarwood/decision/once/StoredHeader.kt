package io.poplarwood.decision.once

import kotlinx.serialization.Serializable

/** One header field of a [StoredResponse]. */
@Serializable
data class StoredHeader(val name: String, val value: String)
