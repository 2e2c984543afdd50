package io.poplarwood.gateway.relay

/** What became of a request between entries. The names in lower case are values of the metric label `event`. */
internal enum class RelayEvent { SENT, ANSWERED, REFUSED, NOT_SENT, LOST, RECEIVED }
