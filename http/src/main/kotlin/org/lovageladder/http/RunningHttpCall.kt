package org.lovageladder.http

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpHeaders
import org.lovageladder.core.Address
import org.lovageladder.core.FaultCause
import org.lovageladder.core.forward.CallPlace
import java.util.concurrent.atomic.AtomicBoolean

/**
 * A call that has been started. Its receiver is told of the end once: end of the answer, or failure. The call fails as
 * soon as the answer exceeds [maximumAnswerBytes], since the answer may be endless. Its connection is closed afterwards
 * unless [isConnectionKept].
 */
internal class RunningHttpCall(
    val address: Address,
    val call: HttpCall,
    private val receiver: HttpReceiver,
    private val maximumAnswerBytes: Int,
    val isConnectionKept: Boolean = true,
) {
    private val ended = AtomicBoolean()

    @Volatile
    private var channel: Channel? = null
    private var receivedBytes = 0L

    @Volatile
    private var place: CallPlace? = null

    /** Whether part of the request may have reached the peer. */
    @Volatile
    var requestSent: Boolean = false
        private set

    /** Whether the peer has started to answer, and so has received the request. */
    @Volatile
    var answerStarted: Boolean = false
        private set

    /** Called when the call ends for any reason; set before the call is sent. */
    @Volatile
    var completionListener: () -> Unit = {}

    val isEnded: Boolean
        get() = ended.get()

    /**
     * Ends the call without notifying the receiver, and closes its connection. A call that has ended is left alone,
     * since its connection may carry another one.
     */
    fun cancel() {
        if (ended.getAndSet(true)) return
        completionListener()
        channel?.close()
    }

    fun onSend(channel: Channel, place: CallPlace) {
        this.channel = channel
        this.place = place
        requestSent = true
        receiver.onSent(place)
    }

    fun onSkipped(skipped: SkippedAnswer) {
        if (!isEnded) receiver.onSkipped(skipped)
    }

    fun onHead(status: Int, headers: HttpHeaders) {
        answerStarted = true
        if (!isEnded) receiver.onHead(status, headers)
    }

    fun onContent(bytes: ByteBuf) {
        if (isEnded) return
        receivedBytes += bytes.readableBytes()
        if (receivedBytes <= maximumAnswerBytes) {
            receiver.onContent(bytes)
            return
        }
        fail(
            HttpFailure(FaultCause.PROTOCOL, requestSent = true, "the answer is larger than $maximumAnswerBytes bytes"),
        )
        channel?.close()
    }

    /**
     * Marks the call as ended, so that a later [cancel] leaves its connection alone. Returns whether it was running.
     */
    fun markEnded(): Boolean {
        completionListener()
        return ended.compareAndSet(false, true)
    }

    /** Tells the receiver that the answer is complete; the call must have been marked as ended before. */
    fun onEnd(): Unit = receiver.onEnd()

    fun fail(failure: HttpFailure) {
        completionListener()
        if (ended.compareAndSet(false, true)) receiver.onFailure(failure.copy(place = place))
    }

    /** Reads no more of the answer until [resumeReading]; the peer is held up by its full socket. */
    fun pauseReading() {
        if (!isEnded) channel?.config()?.isAutoRead = false
    }

    /** Reads on; a call that has ended leaves its connection alone. */
    fun resumeReading() {
        if (!isEnded) channel?.config()?.isAutoRead = true
    }

    /** Fails the call with a timeout, on the event loop of its connection so that receiver callbacks do not overlap. */
    fun onTimeout(detail: String) {
        if (isEnded) return
        val connected = channel
        if (connected == null || connected.eventLoop().inEventLoop()) {
            fail(HttpFailure(FaultCause.TIMEOUT, requestSent, detail))
            connected?.close()
        } else {
            connected.eventLoop().execute { onTimeout(detail) }
        }
    }
}
