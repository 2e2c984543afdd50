package io.poplarwood.gateway.http

import io.netty.bootstrap.AbstractBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.IOException
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Waits for the operation and returns its channel; throws the cause if the operation failed. */
internal suspend fun ChannelFuture.awaitChannel(): Channel = suspendCancellableCoroutine { continuation ->
    addListener {
        if (!continuation.isActive) return@addListener
        if (it.isSuccess) continuation.resume(channel()) else continuation.resumeWithException(it.cause())
    }
}

/**
 * Binds this bootstrap to [address] (`ip:port`) and returns its channel.
 *
 * @throws ListenFailedException if the address cannot be used
 */
internal suspend fun AbstractBootstrap<*, *>.bindTo(address: String): Channel = try {
    bind(UpstreamConnectionPool.socketAddress(address)).awaitChannel()
} catch (e: IOException) {
    throw ListenFailedException(address, e)
}
