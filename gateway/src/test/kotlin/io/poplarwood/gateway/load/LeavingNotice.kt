package io.poplarwood.gateway.load

/** How entries learn that an upstream is draining: by its answers, by its registration, or not at all. */
internal enum class LeavingNotice { MARKS, REGISTRATIONS, NONE }
