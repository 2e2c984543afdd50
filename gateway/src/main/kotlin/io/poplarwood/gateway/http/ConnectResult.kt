package io.poplarwood.gateway.http

/** What an attempt to open a connection showed. */
internal enum class ConnectResult {
    /** The connection was opened. */
    ACCEPTED,

    /** The VM answered that no process listens at the address. */
    REFUSED,

    /** Nothing answered, or not in time: the VM or the path to it is down. */
    SILENT,
}
