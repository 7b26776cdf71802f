package org.lovageladder.http.forward

import org.lovageladder.core.Address
import org.lovageladder.core.Moment
import org.lovageladder.core.RequestId
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.AnswerHead
import org.lovageladder.core.forward.AnswerReceiver
import org.lovageladder.core.forward.CallFailure
import org.lovageladder.core.forward.EngineAnswer
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.HeaderField
import org.lovageladder.core.forward.PrefillResult
import org.lovageladder.core.forward.Reservation
import org.lovageladder.core.forward.Sending
import org.lovageladder.http.FaultyPeer
import org.lovageladder.http.HttpThreads
import org.lovageladder.http.PeerBehaviour
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What upstreams send, as a table, and what the decisions are told of it. */
class HttpUpstreamCallsTest {
    private val threads = HttpThreads(1)
    private val calls = HttpUpstreamCalls(threads, PlainWire)

    @AfterTest
    fun close() {
        calls.close()
        threads.close()
    }

    /** Headers as they are; memory calls answer with their body. */
    private object PlainWire : UpstreamWire {
        override fun runFields(request: ForwardRequest, sending: Sending): List<HeaderField> = request.fields

        override fun prefillFields(request: ForwardRequest, sending: Sending): List<HeaderField> = request.fields

        override fun isAnswerTo(request: ForwardRequest, value: (String) -> String?): Boolean =
            value("Id").let { it == null || it == request.id.text }

        override fun head(status: Int, fields: List<HeaderField>, upstream: UpstreamName) =
            AnswerHead(status, fields, notRun = false, wrongInstance = false, load = null)

        override fun reserveCall(tokens: Int, keep: Duration) = TextCall("POST", "/reserve", "$tokens")

        override fun reservation(answer: TextAnswer) = EngineAnswer.Done(Reservation(answer.body))

        override fun releaseCall(reservation: Reservation) = TextCall("DELETE", "/release/${reservation.text}")

        override fun prefillResult(sending: Sending, answer: TextAnswer) =
            EngineAnswer.Done(PrefillResult(sending.address, answer.body))

        override fun freeCall(result: PrefillResult) = TextCall("DELETE", "/free/${result.handle}")
    }

    private class Recorder : AnswerReceiver {
        val outcome = CompletableFuture<String>()
        private val body = StringBuilder()
        private var status = 0

        override fun onHead(head: AnswerHead) {
            status = head.status
        }

        override fun onContent(bytes: ByteArray) {
            body.append(bytes.decodeToString())
        }

        override fun onEnd() {
            outcome.complete("$status $body")
        }

        override fun onFailure(failure: CallFailure) {
            outcome.complete("failed sent=${failure.sent}")
        }
    }

    private fun request() = ForwardRequest(
        id = RequestId("7"),
        method = "POST",
        target = "/x?y=%31",
        host = "h",
        fields = listOf(HeaderField("Host", "h"), HeaderField("Two", "a"), HeaderField("Two", "b")),
        body = "body".encodeToByteArray(),
        arrived = Moment(0),
        wait = null,
        generation = null,
        resumeAfter = null,
    )

    private fun outcomeOf(address: Address): String {
        val recorder = Recorder()
        calls.send(request(), Sending(UpstreamName("u"), address, 5.seconds), recorder)
        return recorder.outcome.get(10, TimeUnit.SECONDS)
    }

    @Test
    fun answersAndDamageAreTold() {
        val whole = FaultyPeer.answer(200, "done", "Id: 7")
        val cases =
            mapOf(
                PeerBehaviour.Send(whole) to "200 done",
                PeerBehaviour.Send(FaultyPeer.answer(200, "other", "Id: 6") + whole) to "200 done",
                PeerBehaviour.Send("HTTP/1.1 100 Continue\r\n\r\n$whole") to "200 done",
                PeerBehaviour.Send("HTTP/1.1 200 X\r\nId: 7\r\n\r\nno length") to "200 no length",
                PeerBehaviour.Send("HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\ncut") to "failed sent=true",
                PeerBehaviour.Send("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n") to
                    "failed sent=true",
                PeerBehaviour.Send("nonsense\r\n\r\n") to "failed sent=true",
                PeerBehaviour.Send("") to "failed sent=true",
            )
        cases.forEach { (behaviour, outcome) ->
            FaultyPeer(behaviour).use { peer -> assertEquals(outcome, outcomeOf(peer.address), "$behaviour") }
        }
    }

    @Test
    fun requestReachesTheUpstreamUnchanged() {
        FaultyPeer(PeerBehaviour.Send(FaultyPeer.answer(200, ""))).use { peer ->
            outcomeOf(peer.address)
            val received = peer.requests.single()
            assertContains(received, "POST /x?y=%31 HTTP/1.1\r\n")
            assertContains(received.lowercase(), "host: h\r\n")
            assertContains(received, "Two: a\r\nTwo: b\r\n")
            assertContains(received, "\r\n\r\nbody")
        }
    }

    @Test
    fun addressWithoutListenerWasCertainlyNotReached() {
        val address = FaultyPeer(PeerBehaviour.Silence).use { it.address }
        assertEquals("failed sent=false", outcomeOf(address))
    }

    @Test
    fun engineCallsGoToTheirPaths() {
        FaultyPeer(PeerBehaviour.Send(FaultyPeer.answer(200, "k1"))).use { peer ->
            val reserved = CompletableFuture<EngineAnswer<Reservation>>()
            calls.reserve(peer.address, tokens = 30, keep = 1.seconds) { reserved.complete(it) }
            assertEquals("k1", assertIs<EngineAnswer.Done<Reservation>>(reserved.get(10, TimeUnit.SECONDS)).value.text)
            val prefilled = CompletableFuture<EngineAnswer<PrefillResult>>()
            calls.prefill(request(), Sending(UpstreamName("u"), peer.address, 5.seconds)) { prefilled.complete(it) }
            assertIs<EngineAnswer.Done<PrefillResult>>(prefilled.get(10, TimeUnit.SECONDS))
            assertContains(peer.requests[0], "POST /reserve HTTP/1.1")
            assertContains(peer.requests[0], "\r\n\r\n30")
            assertContains(peer.requests[1], "\r\n\r\nbody")
        }
    }
}
