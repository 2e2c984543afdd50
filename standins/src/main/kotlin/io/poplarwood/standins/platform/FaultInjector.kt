package io.poplarwood.standins.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.time.Ticker
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds

/** Applies the rate limits and the configured faults to every operation of the stand-in platform. */
internal class FaultInjector(limits: PlatformLimits, ticker: Ticker) {
    private val activeFaults = AtomicReference(PlatformFaults())
    private val responsesToLose = AtomicInteger()
    private val readBucket = TokenBucket(limits.readsPerSecond, ticker)
    private val writeBucket = TokenBucket(limits.writesPerSecond, ticker)
    private val reads = AtomicLong()
    private val writes = AtomicLong()
    private val lists = AtomicLong()
    private val throttled = AtomicLong()

    var faults: PlatformFaults
        get() = activeFaults.get().copy(loseAnswers = responsesToLose.get())
        set(value) {
            responsesToLose.set(value.loseAnswers)
            activeFaults.set(value)
        }

    fun counts() = PlatformCounts(reads.get(), writes.get(), lists.get(), throttled.get())

    suspend fun <V> list(operation: () -> V): Result<V, StoreFailure> {
        lists.incrementAndGet()
        return admit(readBucket, 1) ?: Ok(operation())
    }

    suspend fun <V> read(operation: () -> V): Result<V, StoreFailure> {
        reads.incrementAndGet()
        return admit(readBucket, 1) ?: Ok(operation())
    }

    suspend fun write(units: Int, operation: () -> Result<Unit, StoreFailure>): Result<Unit, StoreFailure> {
        writes.addAndGet(units.toLong())
        admit(writeBucket, units)?.let { return it }
        val result = operation()
        return if (consumeLostResponse()) Err(StoreFailure.AnswerLost) else result
    }

    private suspend fun admit(bucket: TokenBucket, units: Int): Result<Nothing, StoreFailure>? {
        val delayMs = activeFaults.get().slowMs
        if (delayMs > 0) delay(delayMs.milliseconds)
        val faultsNow = activeFaults.get()
        if (faultsNow.down) return Err(StoreFailure.Unavailable)
        if (!faultsNow.throttle && bucket.tryTake(units)) return null
        throttled.incrementAndGet()
        return Err(StoreFailure.Throttled)
    }

    private fun consumeLostResponse(): Boolean = responsesToLose.getAndUpdate { if (it > 0) it - 1 else 0 } > 0
}
