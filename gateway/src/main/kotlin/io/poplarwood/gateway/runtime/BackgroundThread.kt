package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.configuration.BackgroundWork
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.withContext
import java.util.concurrent.Executors

/** One thread for long computations, such as decoding desired states, so that the event loop goes on meanwhile. */
internal class BackgroundThread :
    BackgroundWork,
    AutoCloseable {
    private val dispatcher = Executors.newSingleThreadExecutor { task ->
        Thread(task, "poplarwood-background").apply { isDaemon = true }
    }.asCoroutineDispatcher()

    override suspend fun run(block: () -> Any?): Any? = withContext(dispatcher) { block() }

    override fun close() = dispatcher.close()
}
