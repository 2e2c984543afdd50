package io.poplarwood.gateway.configuration

/** Runs [block] where it does not delay requests, and returns its result. */
fun interface BackgroundWork {
    suspend fun run(block: () -> Any?): Any?
}

/** Runs [block] in the background and returns its result. */
@Suppress("UNCHECKED_CAST")
suspend fun <T> BackgroundWork.compute(block: () -> T): T = run(block) as T
