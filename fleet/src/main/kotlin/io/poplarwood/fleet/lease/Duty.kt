package io.poplarwood.fleet.lease

/** Work that some entry does for all. */
internal enum class Duty {
    /** Reads the VM list often and spreads what changed. */
    VM_LIST,
}
