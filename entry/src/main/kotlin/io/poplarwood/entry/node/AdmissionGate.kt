package io.poplarwood.entry.node

import io.poplarwood.api.outcome.RefusalReason

/** Tells whether this entry may take new work, and why not. Safe for use from several threads. */
class AdmissionGate {
    @Volatile
    private var started = false

    @Volatile
    private var fresh = false

    @Volatile
    private var stopping = false

    /** Why new work is refused; null when it is taken. */
    val refusal: RefusalReason?
        get() = when {
            stopping -> RefusalReason.STOPPING
            !started -> RefusalReason.STARTING
            !fresh -> RefusalReason.NOT_FRESH
            else -> null
        }

    /** The request path is warm and documents are in force. */
    fun markStarted() {
        started = true
    }

    /** Whether every change accepted up to a few seconds ago is known here. */
    fun updateFreshness(fresh: Boolean) {
        this.fresh = fresh
    }

    /** From now on new work is refused. */
    fun markStopping() {
        stopping = true
    }
}
