package io.poplarwood.standins.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.poplarwood.api.platform.ObjectStore
import io.poplarwood.api.platform.StoreFailure
import java.util.concurrent.ConcurrentHashMap

/** In-memory store of immutable objects. */
internal class InMemoryObjectStore(private val faultInjector: FaultInjector) : ObjectStore {
    private val objects = ConcurrentHashMap<String, ByteArray>()

    override suspend fun put(name: String, bytes: ByteArray): Result<Unit, StoreFailure> = faultInjector.write(1) {
        val existing = objects.putIfAbsent(name, bytes.copyOf())
        if (existing == null || existing.contentEquals(bytes)) Ok(Unit) else Err(StoreFailure.Conflict(name, 1))
    }

    override suspend fun get(name: String): Result<ByteArray?, StoreFailure> = faultInjector.read { objects[name] }
}
