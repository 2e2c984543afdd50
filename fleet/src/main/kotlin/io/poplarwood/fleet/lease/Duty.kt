package io.poplarwood.fleet.lease

/** A task that a few entries perform for the whole cell. */
internal enum class Duty {
    /** Polls the VM list at a short interval and sends changes to the other entries. */
    VM_LIST,
}
