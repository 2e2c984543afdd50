package io.poplarwood.entry.node

import io.poplarwood.api.outcome.RefusalReason

/** Whether this entry accepts new work and, if not, the reason. Thread-safe. */
class AdmissionGate {
    @Volatile
    private var started = false

    @Volatile
    private var fresh = false

    @Volatile
    private var stopping = false

    /** Reason for refusing new work; null when new work is accepted. */
    val refusal: RefusalReason?
        get() = when {
            stopping -> RefusalReason.STOPPING
            !started -> RefusalReason.STARTING
            !fresh -> RefusalReason.NOT_FRESH
            else -> null
        }

    /** Records that the request path is warmed up. */
    fun markStarted() {
        started = true
    }

    /** Records whether this entry knows every configuration change accepted up to a few seconds ago. */
    fun updateFreshness(fresh: Boolean) {
        this.fresh = fresh
    }

    /** Refuses new work from now on. */
    fun markStopping() {
        stopping = true
    }
}
