package org.lovageladder.http.forward

import org.lovageladder.core.Address
import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Moment
import org.lovageladder.core.RequestId
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.AnswerHead
import org.lovageladder.core.forward.AnswerIdentifier
import org.lovageladder.core.forward.AnswerOrigin
import org.lovageladder.core.forward.AnswerReceiver
import org.lovageladder.core.forward.CallFailure
import org.lovageladder.core.forward.CallPlace
import org.lovageladder.core.forward.EngineAnswer
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.HeaderField
import org.lovageladder.core.forward.PrefillResult
import org.lovageladder.core.forward.RequestLimitNotice
import org.lovageladder.core.forward.Reservation
import org.lovageladder.core.forward.UpstreamAttempt
import org.lovageladder.core.forward.UpstreamIncarnation
import org.lovageladder.core.forward.UpstreamNotice
import org.lovageladder.http.FaultyPeer
import org.lovageladder.http.HttpThreads
import org.lovageladder.http.PeerBehaviour
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Checks the outcome of calls to upstreams that send complete, malformed, partial or endless answers. */
class HttpUpstreamCallsTest {
    private val threads = HttpThreads(1)
    private val notices = CopyOnWriteArrayList<Pair<UpstreamIncarnation, UpstreamNotice>>()
    private val events = LinkedBlockingQueue<EventDraft>()
    private val calls =
        HttpUpstreamCalls(threads, PlainCodec, events::add) { incarnation, notice -> notices += incarnation to notice }

    /** Its calls end by what the peer does, not by their time. */
    private val patientCalls = HttpUpstreamCalls(threads, PlainCodec, engineCallTimeout = 10.seconds)

    @AfterTest
    fun close() {
        calls.close()
        patientCalls.close()
        threads.close()
    }

    /** Records the outcome of a call as text. */
    private class Recorder : AnswerReceiver {
        val outcome = CompletableFuture<String>()
        private val body = StringBuilder()
        private var status = 0
        var origin: AnswerOrigin? = null
            private set

        override fun onHead(head: AnswerHead) {
            status = head.status
            origin = head.origin
            if (head.endsWithConnection) body.append("unframed: ")
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
        headers = listOf(HeaderField("Host", "h"), HeaderField("Two", "a"), HeaderField("Two", "b")),
        body = "body".encodeToByteArray(),
        arrivedAt = Moment(0),
        callerTimeout = null,
        generation = null,
        resumeAfterEventId = null,
    )

    private fun outcomeOf(address: Address): String = outcomeOf("run", UpstreamIncarnation(UpstreamName("u"), address))

    @Test
    fun completeAnswersAreDeliveredAndDamagedOnesFail() {
        val whole = FaultyPeer.answer(200, "done", "Id: 7")
        val cases =
            mapOf(
                PeerBehaviour.Send(whole) to "200 done",
                PeerBehaviour.Send(FaultyPeer.answer(200, "other", "Id: 6") + whole) to "200 done",
                PeerBehaviour.Send("HTTP/1.1 100 Continue\r\n\r\n$whole") to "200 done",
                PeerBehaviour.Send("HTTP/1.1 200 X\r\nId: 7\r\n\r\nno length") to "200 unframed: no length",
                PeerBehaviour.Send("HTTP/1.1 204 X\r\nId: 7\r\n\r\n") to "204 ",
                PeerBehaviour.Send("HTTP/1.1 200 X\r\nId: 7\r\nContent-Le") to "failed sent=true",
                PeerBehaviour.Send("HTTP/1.1 200 X\r\nId: 7\r\n") to "failed sent=true",
                PeerBehaviour.Send("HTTP/1.1 20") to "failed sent=true",
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

    /** An upstream can write an earlier refusal once more on a connection that is kept. */
    @Test
    fun earlierRefusalOnAKeptConnectionIsNoAnswerToAnotherCall() {
        val refusal = FaultyPeer.answer(503, "full", "Id: 6")
        FaultyPeer(PeerBehaviour.SendTo("", refusal + FaultyPeer.answer(200, "k1"))).use { peer ->
            val incarnation = UpstreamIncarnation(UpstreamName("u"), peer.address)
            listOf("reserve", "prefill", "run").forEach {
                assertContains(outcomeOf(it, incarnation), "k1", message = it)
            }
        }
    }

    /** Makes a call of [kind] and returns its outcome as text. */
    private fun outcomeOf(kind: String, incarnation: UpstreamIncarnation): String {
        val recorder = Recorder()
        val attempt = UpstreamAttempt(incarnation, 5.seconds)
        when (kind) {
            "reserve" -> calls.reserve(incarnation, tokens = 1, 1.seconds) { recorder.outcome.complete("$it") }
            "prefill" -> calls.prefill(request(), attempt) { recorder.outcome.complete("$it") }
            else -> calls.send(request(), attempt, recorder)
        }
        return recorder.outcome.get(10, TimeUnit.SECONDS)
    }

    /** The events that tell an answer that counts from those that do not. */
    @Test
    fun answersAreRecordedWithTheirPlaceAndWhatTheyName() {
        val own = FaultyPeer.answer(200, "done", "Id: 7", "Signed: 1")
        val other = FaultyPeer.answer(503, "full", "Id: 6")
        val place = CallPlace(connection = 1, call = 1)
        data class Case(val bytes: String, val origin: AnswerOrigin, val event: EventKind?, val detail: String = "")
        listOf(
            Case(own, AnswerOrigin(place, AnswerIdentifier.OWN, isSigned = true), event = null),
            Case(
                FaultyPeer.answer(200, "done"),
                AnswerOrigin(place, AnswerIdentifier.NONE, isSigned = false),
                event = null,
            ),
            Case(
                other + own,
                AnswerOrigin(place, AnswerIdentifier.OWN, isSigned = true),
                EventKind.ANSWER_SKIPPED,
                "at request: $place status=503 identifier=6 earlier=0",
            ),
            Case(
                own + other,
                AnswerOrigin(place, AnswerIdentifier.OWN, isSigned = true),
                EventKind.ANSWER_UNEXPECTED,
                "ADDRESS $place answered=1 idle=0ms status=503 identifier=6",
            ),
        ).forEach { case ->
            FaultyPeer(PeerBehaviour.SendTo("", case.bytes)).use { peer ->
                HttpUpstreamCalls(threads, PlainCodec, events::add).use { calls ->
                    val recorder = Recorder()
                    val incarnation = UpstreamIncarnation(UpstreamName("u"), peer.address)
                    calls.send(request(), UpstreamAttempt(incarnation, 5.seconds), recorder)
                    assertEquals("200 done", recorder.outcome.get(10, TimeUnit.SECONDS), "$case")
                    assertEquals(case.origin, recorder.origin, "$case")
                    val event = case.event?.let { events.poll(10, TimeUnit.SECONDS) }
                    assertEquals(case.event, event?.kind, "$case")
                    val detail = event?.detail.orEmpty().replace(Regex("idle=\\d+ms"), "idle=0ms")
                    assertEquals(case.detail, detail.replace("address=${peer.address}", "ADDRESS"), "$case")
                }
            }
        }
        assertTrue(events.isEmpty())
    }

    /** The earlier answer may be one of the same request, which only another connection tells apart. */
    @Test
    fun eachAttemptOfARequestAtAnUpstreamGetsItsOwnConnection() {
        FaultyPeer(PeerBehaviour.SendTo("", FaultyPeer.answer(200, "done", "Id: 7"))).use { peer ->
            val incarnation = UpstreamIncarnation(UpstreamName("u"), peer.address)
            val connections = List(3) {
                val recorder = Recorder()
                calls.send(request(), UpstreamAttempt(incarnation, 5.seconds), recorder)
                assertEquals("200 done", recorder.outcome.get(10, TimeUnit.SECONDS))
                peer.connections
            }
            assertEquals(listOf(1, 2, 3), connections)
        }
    }

    @Test
    fun requestIsSentToTheUpstreamUnchanged() {
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
    fun failureToConnectCountsAsNotSent() {
        val address = FaultyPeer(PeerBehaviour.NeverAnswer).use { it.address }
        assertEquals("failed sent=false", outcomeOf(address))
    }

    /** An upstream that is leaving says so in all its answers; the notice must be read from each kind of call. */
    @Test
    fun noticeIsReadFromAnswersToAllKindsOfCalls() {
        class AnsweringPeer(val status: Int, val peer: FaultyPeer)
        val peers = listOf(200, 503).map {
            AnsweringPeer(it, FaultyPeer(PeerBehaviour.SendTo("", FaultyPeer.answer(it, "1", "Leaving: 1"))))
        }
        peers.forEach { peer ->
            val incarnation = UpstreamIncarnation(UpstreamName("u"), peer.peer.address, startedAt = 7)
            listOf("run", "prefill", "reserve").forEach { kind ->
                notices.clear()
                outcomeOf(kind, incarnation)
                val expected = UpstreamNotice(isLeaving = true, requestLimit = limitNamedIn(kind, peer.status))
                assertEquals(listOf(incarnation to expected), notices, "$kind ${peer.status}")
            }
        }
        peers.forEach { it.peer.close() }
    }

    /** Only a successful answer to a request says that its upstream has no limit. */
    private fun limitNamedIn(kind: String, status: Int): RequestLimitNotice? =
        RequestLimitNotice.NotNamed.takeIf { kind != "reserve" && status == 200 }

    /** An endless answer must not keep its call running: the call fails and the connection is closed. */
    @Test
    fun endlessAnswerFailsItsCall() {
        val endlessText = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
        val behaviours =
            listOf(
                PeerBehaviour.SendEndlessly("HTTP/1.1 200 X\r\n", "X-More: 1\r\n"),
                PeerBehaviour.SendEndlessly("HTTP/1.1 200 X\r\nX-Long: ", "more"),
                PeerBehaviour.SendEndlessly("", "noise "),
                PeerBehaviour.SendEndlessly(endlessText, "4\r\nmore\r\n"),
                PeerBehaviour.SendEndlessly("HTTP/1.1 200 X\r\n\r\n", "more"),
                PeerBehaviour.SendEndlessly("$endlessText", "4;ext=\"long\"\r\nmore\r\n"),
            )
        behaviours.forEach { behaviour ->
            FaultyPeer(behaviour).use { peer ->
                val incarnation = UpstreamIncarnation(UpstreamName("u"), peer.address)
                val reserved = CompletableFuture<EngineAnswer<Reservation>>()
                patientCalls.reserve(incarnation, tokens = 1, reservationTime = 1.seconds) { reserved.complete(it) }
                val failed = assertIs<EngineAnswer.Failed>(reserved.get(10, TimeUnit.SECONDS), "$behaviour")
                assertEquals(FaultCause.PROTOCOL, failed.failure.cause, "$behaviour")
                assertTrue(peer.bytesSent < SOCKET_BUFFERS, "$behaviour: ${peer.bytesSent} bytes taken")
            }
        }
    }

    /**
     * Guards against an upstream that writes answers without end which are not the call's own: interim ones, and those
     * of another request, which were read on until the call's time was over.
     */
    @Test
    fun endlessAnswersOfOtherCallsFailTheCall() {
        val other = "HTTP/1.1 200 X\r\nId: other\r\n"
        listOf(
            PeerBehaviour.SendEndlessly("", "HTTP/1.1 100 Continue\r\n\r\n"),
            PeerBehaviour.SendEndlessly("", "HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n"),
            PeerBehaviour.SendEndlessly("", "${other}Content-Length: 0\r\n\r\n"),
            PeerBehaviour.SendEndlessly("${other}Transfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n"),
            PeerBehaviour.SendEndlessly("${other}\r\n", "more"),
            PeerBehaviour.SendEndlessly("${other}Content-Length: 2000000000\r\n\r\n", "more"),
        ).forEach { behaviour ->
            FaultyPeer(behaviour).use { peer ->
                assertEquals("failed sent=true", outcomeOf(peer.address), "$behaviour")
                assertTrue(peer.bytesSent < SOCKET_BUFFERS, "$behaviour: ${peer.bytesSent} bytes taken")
            }
        }
    }

    @Test
    fun engineCallsUseTheirPathsAndBodies() {
        FaultyPeer(PeerBehaviour.Send(FaultyPeer.answer(200, "k1", "Connection: close"))).use { peer ->
            val reserved = CompletableFuture<EngineAnswer<Reservation>>()
            calls.reserve(
                UpstreamIncarnation(UpstreamName("u"), peer.address),
                tokens = 30,
                reservationTime = 1.seconds,
            ) {
                reserved.complete(it)
            }
            assertEquals("k1", assertIs<EngineAnswer.Done<Reservation>>(reserved.get(10, TimeUnit.SECONDS)).value.id)
            val prefilled = CompletableFuture<EngineAnswer<PrefillResult>>()
            calls.prefill(request(), UpstreamAttempt(UpstreamIncarnation(UpstreamName("u"), peer.address), 5.seconds)) {
                prefilled.complete(it)
            }
            assertIs<EngineAnswer.Done<PrefillResult>>(prefilled.get(10, TimeUnit.SECONDS))
            assertContains(peer.requests[0], "POST /reserve HTTP/1.1")
            assertContains(peer.requests[0], "\r\n\r\n30")
            assertContains(peer.requests[1], "\r\n\r\nbody")
        }
    }

    private companion object {
        /** Bytes that socket buffers may hold when one side closes the connection. */
        const val SOCKET_BUFFERS = 16L * 1024 * 1024
    }
}
