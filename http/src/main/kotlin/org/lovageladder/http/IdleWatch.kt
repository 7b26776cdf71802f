package org.lovageladder.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import org.lovageladder.core.Address
import org.lovageladder.core.forward.CallPlace
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * What a peer at [address] wrote on a connection that carried no call, [idleTime] after the answer to the last one at
 * [lastCall]. [status] and [identifier] are null when no whole head was read.
 */
internal data class UnexpectedAnswer(
    val address: Address,
    val lastCall: CallPlace,
    val answeredCalls: Int,
    val idleTime: Duration,
    val status: Int?,
    val identifier: String?,
)

/**
 * Numbers the calls of the connection with number [connection], and reports the first bytes that come while it carries
 * none, or behind an answer. Stands before the [decoder], which withholds a head until it is whole. Confined to the
 * connection's event loop thread.
 */
internal class IdleWatch(
    private val connection: Long,
    private val decoder: AnswerDecoder,
    private val report: (UnexpectedAnswer) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var address: Address
    private lateinit var recognition: AnswerRecognition
    private var calls = 0
    private var answeredCalls = 0
    private var idleSince: TimeMark? = null

    /** Place of the current call, or else of the last one. */
    val place: CallPlace get() = CallPlace(connection, calls)

    /** Records that [call] is sent and returns its place. */
    fun startCall(call: RunningHttpCall): CallPlace {
        calls += 1
        address = call.address
        recognition = call.call.recognition
        idleSince = null
        return place
    }

    /** Records that the last call was answered; the connection has answered [answeredCalls] calls in all. */
    fun endCall(answeredCalls: Int) {
        this.answeredCalls = answeredCalls
        idleSince = TimeSource.Monotonic.markNow()
    }

    /** The decoder may pass on the answer in these bytes first, which tells more. */
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val wasIdle = idleSince != null
        super.channelRead(context, message)
        if (wasIdle || decoder.hasRest) reportOnce(answer = null)
    }

    /** Called for each [message] that is read while the connection carries no call. */
    fun onMessage(message: HttpObject): Unit =
        reportOnce((message as? HttpResponse)?.takeIf { it.decoderResult().isSuccess })

    private fun reportOnce(answer: HttpResponse?) {
        val endedAt = idleSince ?: return
        idleSince = null
        report(
            UnexpectedAnswer(
                address = address,
                lastCall = place,
                answeredCalls = answeredCalls,
                idleTime = endedAt.elapsedNow(),
                status = answer?.status()?.code(),
                identifier = answer?.let { recognition.identifierOf(it.headers()) },
            ),
        )
    }
}
