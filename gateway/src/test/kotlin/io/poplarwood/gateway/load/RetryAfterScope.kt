package io.poplarwood.gateway.load

/** Which entries honor the retry-after time of a rejection: none, the one that received the rejection, or all. */
internal enum class RetryAfterScope { BY_NONE, BY_THE_ONE_TOLD, BY_ALL }
