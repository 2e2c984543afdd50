package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil

/** Whether only the end of the connection tells where the body of this response ends, if it has one. */
internal val HttpResponse.endsWithConnection: Boolean
    get() = !HttpUtil.isContentLengthSet(this) && !HttpUtil.isTransferEncodingChunked(this)
