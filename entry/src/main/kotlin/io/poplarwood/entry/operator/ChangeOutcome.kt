package io.poplarwood.entry.operator

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What became of a change of a service's classes. */
@Serializable
sealed interface ChangeOutcome {
    /** HTTP status of the answer. */
    val status: Int

    /** The change is written; [everywhere] tells that every entry that takes work has it. */
    @Serializable
    @SerialName("accepted")
    data class Accepted(val version: Long, val sequence: Long, val everywhere: Boolean) : ChangeOutcome {
        override val status: Int get() = 200
    }

    /** Another change won; nothing was written. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(val winner: ServiceClasses?, val changed: List<ValueChange>) : ChangeOutcome {
        override val status: Int get() = 409
    }

    /** The document is refused; nothing was written. */
    @Serializable
    @SerialName("invalid")
    data class Invalid(val faults: List<DocumentFault>) : ChangeOutcome {
        override val status: Int get() = 422
    }

    /** The change was not taken now; nothing was written. */
    @Serializable
    @SerialName("unavailable")
    data class Unavailable(val reason: String) : ChangeOutcome {
        override val status: Int get() = 503
    }

    /** Whether the change was written is not known; the history tells later by [changeId]. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(val changeId: String) : ChangeOutcome {
        override val status: Int get() = 504
    }
}
