package org.lovageladder.http.forward

import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.socket.DuplexChannel
import java.util.concurrent.TimeUnit

/**
 * Closes a connection whose caller may still be sending, after the answer is written. A close with unread bytes resets
 * the connection, and the caller could lose the answer; so only this side's output ends first, and the connection is
 * closed when the caller closes it or [LINGER_MILLISECONDS] later.
 */
internal object LingeringClose : ChannelFutureListener {
    private const val LINGER_MILLISECONDS = 2_000L

    override fun operationComplete(written: ChannelFuture) {
        val channel = written.channel()
        if (!written.isSuccess || channel !is DuplexChannel) {
            channel.close()
            return
        }
        channel.shutdownOutput()
        val closing = channel.eventLoop().schedule({ channel.close() }, LINGER_MILLISECONDS, TimeUnit.MILLISECONDS)
        channel.closeFuture().addListener { closing.cancel(false) }
    }
}
