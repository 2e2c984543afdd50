package io.poplarwood.gateway.metrics

/** Kinds of datagrams between entries. The names in lower case are values of the `kind` label. */
internal enum class DatagramKind { HEARTBEAT, LOAD, REGISTRATIONS, PERMITS, CRASHES }
