package io.poplarwood.bench.configurations

/** What a caller or the platform asks of an entry. */
internal enum class Question { READINESS, OLD_ROUTE, NEWEST_ROUTE }
