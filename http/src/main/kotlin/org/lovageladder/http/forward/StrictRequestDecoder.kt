package org.lovageladder.http.forward

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import org.lovageladder.http.requireKnownTransferCoding

/**
 * Decodes callers' requests and rejects those whose body length is ambiguous, since an upstream might read another
 * length and take the rest of the body for a second request (request smuggling).
 */
internal class StrictRequestDecoder(maximumHeaderBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig().setMaxInitialLineLength(
            maximumHeaderBytes,
        ).setMaxHeaderSize(maximumHeaderBytes).setStrictLineParsing(true),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Transfer-Encoding and Content-Length are given")

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        requireKnownTransferCoding(message.headers())
        return super.isContentAlwaysEmpty(message)
    }
}
