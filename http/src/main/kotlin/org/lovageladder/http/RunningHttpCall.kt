package org.lovageladder.http

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpHeaders
import org.lovageladder.core.Address
import org.lovageladder.core.FaultCause
import java.util.concurrent.atomic.AtomicBoolean

/**
 * One call under way. Its end is told to the receiver once: an answer's end, or a failure. An answer of more than
 * [answerBytes] is a failure at once, since it may have no end.
 */
internal class RunningHttpCall(
    val address: Address,
    val call: HttpCall,
    private val receiver: HttpReceiver,
    private val answerBytes: Int,
) {
    private val over = AtomicBoolean()

    @Volatile
    private var channel: Channel? = null
    private var received = 0L

    /** Whether a byte of the request may have reached the peer. */
    @Volatile
    var sent: Boolean = false
        private set

    /** Whether the peer began to answer, hence has received the request. */
    @Volatile
    var answering: Boolean = false
        private set

    /** Called when the call ends in whatever way; set before the call is sent. */
    @Volatile
    var onOver: () -> Unit = {}

    val isOver: Boolean
        get() = over.get()

    /** Ends the call without telling the receiver, and closes its connection. */
    fun abandon() {
        over.set(true)
        onOver()
        channel?.close()
    }

    fun begin(channel: Channel) {
        this.channel = channel
        sent = true
    }

    fun isAnswer(headers: HttpHeaders): Boolean = isOver || receiver.isAnswer(headers)

    fun head(status: Int, headers: HttpHeaders) {
        answering = true
        if (!isOver) receiver.onHead(status, headers)
    }

    fun content(bytes: ByteBuf) {
        if (isOver) return
        received += bytes.readableBytes()
        if (received <= answerBytes) {
            receiver.onContent(bytes)
            return
        }
        fail(HttpFailure(FaultCause.PROTOCOL, sent = true, "the answer is larger than $answerBytes bytes"))
        channel?.close()
    }

    fun end() {
        onOver()
        if (over.compareAndSet(false, true)) receiver.onEnd()
    }

    fun fail(failure: HttpFailure) {
        onOver()
        if (over.compareAndSet(false, true)) receiver.onFailure(failure)
    }

    /** Fails the call for lack of time; on the thread of its connection, lest the receiver be called on two at once. */
    fun expire(detail: String) {
        if (isOver) return
        val connected = channel
        if (connected == null || connected.eventLoop().inEventLoop()) {
            fail(HttpFailure(FaultCause.TIMEOUT, sent, detail))
            connected?.close()
        } else {
            connected.eventLoop().execute { expire(detail) }
        }
    }
}
