package io.poplarwood.entry.forward

import kotlin.time.Duration

/**
 * What is known about one attempt beside the engine's own request.
 *
 * The engine's threads write it, the attempt's coroutine reads it.
 */
internal class Exchange(val outbound: Outbound) {
    /** True from the moment the request is given to a connection; before that it provably did not run. */
    @Volatile
    var handed: Boolean = false

    /** True when the connection served an earlier request. */
    @Volatile
    var reused: Boolean = false

    /** Reading of the ticker when the connection last showed activity. */
    @Volatile
    var lastActivity: Duration = Duration.ZERO

    /** True while the next bytes of the body are awaited from the caller. */
    @Volatile
    var awaitingCaller: Boolean = false
}
