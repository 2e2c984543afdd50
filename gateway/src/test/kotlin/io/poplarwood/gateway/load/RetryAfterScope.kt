package io.poplarwood.gateway.load

/** Which entries heed the time that an upstream asks for. */
internal enum class RetryAfterScope { BY_NONE, BY_THE_ONE_TOLD, BY_ALL }
