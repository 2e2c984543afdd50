package io.poplarwood.entry.operator

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Outcome of a change of a service's classes. */
@Serializable
sealed interface ChangeOutcome {
    /** HTTP status of the response. */
    val status: Int

    /** The change is written; [everywhere] is true when it is known to be in force at every entry that takes work. */
    @Serializable
    @SerialName("accepted")
    data class Accepted(val version: Long, val sequence: Long, val everywhere: Boolean) : ChangeOutcome {
        override val status: Int get() = 200
    }

    /** Another change came first; nothing was written. [winner] is the document that is in force instead. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(val winner: ServiceClasses?, val changed: List<ValueChange>) : ChangeOutcome {
        override val status: Int get() = 409
    }

    /** The document is invalid; nothing was written. */
    @Serializable
    @SerialName("invalid")
    data class Invalid(val faults: List<DocumentFault>) : ChangeOutcome {
        override val status: Int get() = 422
    }

    /** The change cannot be accepted now; nothing was written. */
    @Serializable
    @SerialName("unavailable")
    data class Unavailable(val reason: String) : ChangeOutcome {
        override val status: Int get() = 503
    }

    /** It is unknown whether the change was written; if so, the history will show [changeId]. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(val changeId: String) : ChangeOutcome {
        override val status: Int get() = 504
    }
}
