package io.poplarwood.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpRequestDecoder
import io.poplarwood.gateway.route.CallerLimits
import io.poplarwood.gateway.support.HEADER_NAMES
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration

/** The memory that a connection of a caller reserves for request bodies. */
class CallerConnectionSpec {
    private val dispatcher = StandardTestDispatcher()
    private val memory = BodyMemoryBudget(LIMIT_BYTES)
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private var served = 0
    private val listener = CallerListener(
        group,
        "127.0.0.1:0",
        TestScope(dispatcher),
        { Duration.ZERO },
        HEADER_NAMES,
        memory,
        { CallerLimits() },
        { _, _ -> true },
        {
            served++
            CallerResponse(200, null, ByteArray(0))
        },
    )

    /** Guards against an entry that accepts no more bodies after callers left at a bad moment. */
    @Test
    fun `is released when the caller leaves before its request starts`() {
        val connection = CallerConnection(listener, TestScope(dispatcher), { Duration.ZERO })
        val channel = EmbeddedChannel(HttpRequestDecoder(), connection)
        val head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: $LIMIT_BYTES\r\n\r\n"
        val request = head + "x".repeat(LIMIT_BYTES.toInt())
        channel.writeInbound(Unpooled.wrappedBuffer(request.encodeToByteArray()))
        channel.close()
        dispatcher.scheduler.advanceUntilIdle()
        assertEquals(0, served)
        assertTrue(memory.tryReserve(LIMIT_BYTES))
        group.shutdownGracefully()
    }

    private companion object {
        const val LIMIT_BYTES = 100L
    }
}
