package io.poplarwood.fleet.snapshot

/** Why a snapshot is refused. */
enum class SnapshotFault {
    /** The checksum does not match or the encoding is invalid. */
    DAMAGED,

    /** Written in a format that this release cannot read. */
    FORMAT,

    /** Taken too long ago, or too far ahead of the wall clock of this entry. */
    TOO_OLD,

    /** Older than the head that this entry already knows. */
    BEHIND,
}
