package io.poplarwood.entry.forward

import kotlinx.coroutines.CancellationException

/** The caller disconnected before its response was complete. */
internal class CallerDisconnectedException : CancellationException("the caller disconnected")
