package io.poplarwood.gateway.limit

/** What becomes of permits, as values of a metric label in lower case. */
internal enum class PermitEvent { ASKED, ISSUED, RECEIVED, USED, LAPSED }
