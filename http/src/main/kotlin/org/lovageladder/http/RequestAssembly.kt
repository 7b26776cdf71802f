package org.lovageladder.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import java.io.ByteArrayOutputStream

/** A request whose head was read and whose body is being read. */
internal class RequestAssembly(private val head: HttpRequest) {
    private val body = ByteArrayOutputStream()

    val keepAlive: Boolean = HttpUtil.isKeepAlive(head)

    /** Whether the request names an action that an earlier submission may have run. */
    val hasKey: Boolean = head.headers().contains(KEY_HEADER)

    val size: Int
        get() = body.size()

    fun append(bytes: ByteBuf) {
        bytes.readBytes(body, bytes.readableBytes())
    }

    fun toRequest(): ReceivedRequest =
        ReceivedRequest(head.method().name(), head.uri(), head.headers(), body.toByteArray())
}
