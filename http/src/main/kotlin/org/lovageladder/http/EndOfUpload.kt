package org.lovageladder.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Finds out how a peer ended the connection of an upload that it answered without framing. A peer that closes while a
 * part of the upload is unread resets the connection, but its end can arrive before the reset and then looks like the
 * end of a whole answer. Only a write tells: it fails after a reset. So the connection stays half open, and an empty
 * line, which servers ignore between requests, is written behind the upload. Confined to the event loop of [channel].
 */
internal class EndOfUpload(private val channel: Channel) {
    /** Whether a check is going on. */
    var isBeingChecked: Boolean = false
        private set

    /** Prepares the connection for a call with a body of [bodyBytes]; a small body is read together with its head. */
    fun prepare(bodyBytes: Int) {
        isBeingChecked = false
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, bodyBytes > SMALL_BODY_BYTES)
    }

    /** Whether the end of the answer has to be checked, since the connection is half open. */
    fun mustBeChecked(): Boolean =
        channel.isActive && channel.config().getOption(ChannelOption.ALLOW_HALF_CLOSURE) == true

    /** Calls [answer] with null if the peer has not reset the connection, or else with what shows it. */
    fun check(answer: (fault: String?) -> Unit) {
        isBeingChecked = true
        channel.eventLoop().schedule({ write(answer) }, RESET_ARRIVAL_TIME.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun write(answer: (fault: String?) -> Unit) {
        if (channel.unsafe().outboundBuffer()?.isEmpty != true) {
            answer("the connection ended while the request was being written")
            return
        }
        val emptyLine = Unpooled.wrappedBuffer("\r\n".encodeToByteArray())
        channel.pipeline().firstContext().writeAndFlush(emptyLine).addListener { written ->
            val cause = written.cause()
            answer(cause?.let { "the connection was reset at the end of the answer: ${it.message}" })
        }
    }

    private companion object {
        const val SMALL_BODY_BYTES = 16 * 1024

        /** A reset follows the end at once, but may be read later. */
        val RESET_ARRIVAL_TIME: Duration = 25.milliseconds
    }
}
