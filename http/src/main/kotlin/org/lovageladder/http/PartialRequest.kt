package org.lovageladder.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import java.io.ByteArrayOutputStream

/** A request whose head has been read and whose body is still arriving. */
internal class PartialRequest(private val head: HttpRequest) {
    private val body = ByteArrayOutputStream()

    val keepAlive: Boolean = HttpUtil.isKeepAlive(head)

    /** Whether the request has an idempotency key, so that an earlier submission may have run the same action. */
    val hasIdempotencyKey: Boolean = head.headers().contains(IDEMPOTENCY_KEY_HEADER)

    val size: Int
        get() = body.size()

    fun append(bytes: ByteBuf) {
        bytes.readBytes(body, bytes.readableBytes())
    }

    fun toRequest(): ReceivedRequest =
        ReceivedRequest(head.method().name(), head.uri(), head.headers(), body.toByteArray())
}
