package org.lovageladder.http.forward

import org.lovageladder.core.Address
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.AnswerHead
import org.lovageladder.core.forward.AnswerReceiver
import org.lovageladder.core.forward.CallFailure
import org.lovageladder.core.forward.CallerLimits
import org.lovageladder.core.forward.CallerReply
import org.lovageladder.core.forward.Cancellable
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.Refusal
import org.lovageladder.core.forward.RefusalReason
import org.lovageladder.core.forward.RequestHandle
import org.lovageladder.core.forward.UpstreamAttempt
import org.lovageladder.core.forward.UpstreamIncarnation
import org.lovageladder.http.CallerSocket
import org.lovageladder.http.FaultyPeer
import org.lovageladder.http.HttpThreads
import org.lovageladder.http.PeerBehaviour
import org.lovageladder.http.awaitTrue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against calls sent for callers that have left: the event loop is held up between the decision to send and the
 * sending, and the callers close their connections meanwhile. Load pattern: a stall under callers that do not wait.
 */
class CallersThatLeftTest {
    private val threads = HttpThreads(1)
    private val calls = HttpUpstreamCalls(threads, PlainCodec)
    private val peer = FaultyPeer(PeerBehaviour.SendTo("/first", FaultyPeer.answer(200, "", "Id: 1")))
    private val beforeAccept = AtomicReference<Hold?>()
    private val beforeLastSending = AtomicReference<Hold?>()
    private val sendings = CountDownLatch(CALLERS)
    private var areFirstForwarded = false

    private val handler = object : ForwardHandler {
        override val limits: CallerLimits
            get() {
                beforeAccept.getAndSet(null)?.stall()
                return CallerLimits(10_000, 10_000, headerTimeout = 10.seconds, idleTimeout = 10.seconds)
            }

        override fun forward(request: ForwardRequest, reply: CallerReply): RequestHandle? {
            if (request.target == "/first" && !areFirstForwarded) {
                reply.refuse(Refusal(RefusalReason.OVERLOADED))
                return null
            }
            return forwardToPeer(request, reply)
        }
    }
    private val server = ForwardServer(Address("127.0.0.1", 0), threads, PlainParser, handler)

    @AfterTest
    fun close() {
        calls.close()
        server.close()
        peer.close()
        threads.close()
    }

    private fun forwardToPeer(request: ForwardRequest, reply: CallerReply): RequestHandle {
        val attempt = UpstreamAttempt(UpstreamIncarnation(UpstreamName("u"), peer.address), 10.seconds)
        if (request.target == "/first") return toHandle(calls.send(request, attempt, FirstAnswer(reply)))
        val isPrefill = sendings.count % 2 == 0L
        val call =
            if (isPrefill) calls.prefill(request, attempt) {} else calls.send(request, attempt, FirstAnswer(reply))
        sendings.countDown()
        if (sendings.count == 0L) beforeLastSending.get()?.stall()
        return toHandle(call)
    }

    private fun toHandle(call: Cancellable) = RequestHandle { call.cancel() }

    /** Holds the event loop up from [stall] until [release]. */
    private class Hold {
        private val begun = CountDownLatch(1)
        private val released = CountDownLatch(1)

        fun stall() {
            begun.countDown()
            assertTrue(released.await(10, TimeUnit.SECONDS))
        }

        fun await() = assertTrue(begun.await(10, TimeUnit.SECONDS))

        fun release() = released.countDown()
    }

    private class FirstAnswer(private val reply: CallerReply) : AnswerReceiver {
        override fun onHead(head: AnswerHead) = reply.sendHead(head, length = 0)

        override fun onContent(bytes: ByteArray) = Unit

        override fun onEnd() = reply.finish()

        override fun onFailure(failure: CallFailure) = reply.abort()
    }

    /** Callers that have had a first answer and now send a request all at once, whose sendings the loop is held at. */
    private fun callersAtTheirSending(): List<CallerSocket> {
        val callers = List(CALLERS) { CallerSocket(server.address) }
        callers.forEach { it.send("GET /first HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n") }
        callers.forEach { it.readAnswer() }
        val beforeReading = Hold()
        EventLoopScheduler(threads).execute(beforeReading::stall)
        beforeReading.await()
        callers.forEach { it.send("GET /left HTTP/1.1\r\nHost: h\r\nId: 2\r\n\r\n") }
        val sending = Hold()
        beforeLastSending.set(sending)
        beforeReading.release()
        sending.await()
        return callers
    }

    private fun assertNothingSent() {
        awaitTrue("all connections to the upstream ended") { peer.endedConnections == CALLERS }
        assertEquals(0, peer.requests.count { "/left" in it })
    }

    @Test
    fun nothingIsSentOnKeptConnectionsForCallersThatLeftDuringAStall() {
        areFirstForwarded = true
        val callers = callersAtTheirSending()
        callers.forEach { it.close() }
        beforeLastSending.get()?.release()
        assertNothingSent()
    }

    /** The connections to the upstream become ready in the turn in which the loop stalls, at the accept of a caller. */
    @Test
    fun nothingIsSentOnNewConnectionsForCallersThatLeftDuringAStall() {
        val callers = callersAtTheirSending()
        val accept = Hold()
        beforeAccept.set(accept)
        CallerSocket(server.address).use {
            beforeLastSending.get()?.release()
            accept.await()
            callers.forEach { it.close() }
            accept.release()
            assertNothingSent()
        }
    }

    private companion object {
        const val CALLERS = 30
    }
}
