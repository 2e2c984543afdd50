package io.poplarwood.fleet.snapshot

/** Why a snapshot is refused. */
enum class SnapshotFault {
    /** The checksum or the encoding is wrong. */
    DAMAGED,

    /** Written in a format that this version does not read. */
    FORMAT,

    /** Taken too long ago. */
    TOO_OLD,

    /** Behind the head that this entry already knows of. */
    BEHIND,
}
