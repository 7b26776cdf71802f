package org.lovageladder.http

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes the answers on a client connection. A peer may begin to write an answer again and stop in its head; with the
 * next answer, that part makes one that nobody wrote. So bytes that arrive while no call runs close the connection.
 */
internal class AnswerDecoder : HttpResponseDecoder() {
    /** Method of the call that runs on the connection, or null. */
    var awaitedMethod: HttpMethod? = null

    /** Whether bytes have arrived behind those that were decoded. */
    val hasRest: Boolean get() = actualReadableBytes() > 0

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val isIdle = awaitedMethod == null
        super.channelRead(context, message)
        if (isIdle) context.close()
    }

    /** A status that is none would reach the caller, or be taken for one that it resembles. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        requireHttpOne(initialLine[VERSION_INDEX])
        requireStatus(initialLine[STATUS_INDEX])
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        requireKnownTransferCoding(message.headers())
        return awaitedMethod == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
    }

    private companion object {
        const val VERSION_INDEX = 0
        const val STATUS_INDEX = 1
    }
}

/** Why [message] is no part of a valid answer; null when it is one. */
internal fun faultOf(message: HttpObject): Throwable? {
    val isJoined = message is HttpResponse && message.holdsAnotherHead()
    return message.decoderResult().cause() ?: if (isJoined) IllegalArgumentException("its head holds another") else null
}

/** Whether the status line or a field of this head goes on with the start of another head. */
private fun HttpResponse.holdsAnotherHead(): Boolean =
    START_OF_HEAD.containsMatchIn(status().reasonPhrase()) || headers().any { START_OF_HEAD.containsMatchIn(it.value) }

private val START_OF_HEAD = Regex("HTTP/\\d\\.\\d \\d{3}")
