package org.lovageladder.http.forward

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Decodes callers' requests and rejects those whose length could be read in two ways, since an upstream might read
 * them differently and find a second request inside.
 */
internal class StrictRequestDecoder(headerBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig().setMaxInitialLineLength(
            headerBytes,
        ).setMaxHeaderSize(headerBytes).setStrictLineParsing(true),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Transfer-Encoding and Content-Length are given")

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        require(encodings.isEmpty() || encodings.singleOrNull()?.trim().equals("chunked", ignoreCase = true)) {
            "Transfer-Encoding is $encodings, allowed is chunked"
        }
        return super.isContentAlwaysEmpty(message)
    }
}
