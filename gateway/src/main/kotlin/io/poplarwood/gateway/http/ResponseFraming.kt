package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Whether only the end of the connection tells where the body of this response ends, if it has one. */
internal val HttpResponse.endsWithConnection: Boolean
    get() = !HttpUtil.isContentLengthSet(this) && !HttpUtil.isTransferEncodingChunked(this)

/** How long the other side keeps the connection open while it is idle; null if it does not say. */
internal val HttpResponse.keepAliveTimeout: Duration?
    get() = headers()["keep-alive"]?.split(',')?.map { it.trim() }?.firstOrNull { it.startsWith("timeout=") }
        ?.substringAfter('=')?.toIntOrNull()?.seconds
