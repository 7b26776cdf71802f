package org.lovageladder.http.forward

import org.lovageladder.core.Address
import org.lovageladder.core.forward.AnswerHead
import org.lovageladder.core.forward.CallerLimits
import org.lovageladder.core.forward.CallerReply
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.HeaderField
import org.lovageladder.core.forward.Refusal
import org.lovageladder.core.forward.RefusalReason
import org.lovageladder.core.forward.RequestHandle
import org.lovageladder.http.CallerSocket
import org.lovageladder.http.HttpThreads
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Checks what callers may send on a connection and which answers they get. */
class ForwardServerTest {
    private val threads = HttpThreads(1)
    private val callerDisconnected = CountDownLatch(1)
    private val forwarded = LinkedBlockingQueue<Pair<ForwardRequest, CallerReply>>()
    private val handler =
        object : ForwardHandler {
            override val limits =
                CallerLimits(512, 1_000, headerTimeout = 300.milliseconds, idleTimeout = 600.milliseconds)

            override fun forward(request: ForwardRequest, reply: CallerReply): RequestHandle {
                forwarded.add(request to reply)
                return RequestHandle { callerDisconnected.countDown() }
            }
        }
    private val server = ForwardServer(Address("127.0.0.1", 0), threads, PlainParser, handler)

    @AfterTest
    fun close() {
        server.close()
        threads.close()
    }

    private fun takeRequest(): Pair<ForwardRequest, CallerReply> = assertNotNull(forwarded.poll(10, TimeUnit.SECONDS))

    private fun onEventLoop(action: () -> Unit) {
        EventLoopScheduler(threads).execute(action)
    }

    /** Holds the event loop up for a while; returns when that began. */
    private fun stallEventLoop() {
        val begun = CountDownLatch(1)
        onEventLoop {
            begun.countDown()
            Thread.sleep(STALL_MILLISECONDS)
        }
        assertTrue(begun.await(10, TimeUnit.SECONDS))
    }

    private fun answerHead(status: Int) =
        AnswerHead(status, listOf(HeaderField("Seal", "s")), isDeclined = false, isWrongInstance = false, load = null)

    @Test
    fun requestsAndAnswersAreForwardedWithoutHopByHopHeaders() {
        CallerSocket(server.address).use { caller ->
            caller.send(
                "POST /a/b?c=%20d HTTP/1.1\r\nHost: h\r\nId: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 2\r\n\r\nok",
            )
            val (request, reply) = takeRequest()
            assertEquals("/a/b?c=%20d", request.target)
            assertEquals("ok", request.body.decodeToString())
            assertEquals(listOf("Host", "Id"), request.headers.map { it.name })
            onEventLoop {
                reply.sendHead(answerHead(201), length = 4)
                reply.sendContent("body".encodeToByteArray())
                reply.finish()
            }
            val answer = caller.readAnswer()
            assertEquals(201, answer.status)
            assertEquals("s", answer.headers["seal"])
            assertEquals("body", answer.body)
        }
    }

    /**
     * Guards against work for callers that left while the event loop was held up: the request and the close of its
     * connection are both there when it goes on. Load pattern: a stall under callers that do not wait.
     */
    @Test
    fun requestsOfCallersThatLeftDuringAStallAreNotForwarded() {
        val kept = List(20) { CallerSocket(server.address) }
        kept.forEach { it.send("GET /first HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n") }
        repeat(kept.size) {
            val (_, reply) = takeRequest()
            onEventLoop { reply.refuse(Refusal(RefusalReason.OVERLOADED)) }
        }
        kept.forEach { it.readAnswer() }
        stallEventLoop()
        val leaving = kept + List(20) { CallerSocket(server.address) }
        leaving.forEach { caller ->
            caller.send("GET /left HTTP/1.1\r\nHost: h\r\nId: 2\r\n\r\n")
            caller.close()
        }
        CallerSocket(server.address).use { staying ->
            staying.send("GET /stays HTTP/1.1\r\nHost: h\r\nId: 3\r\n\r\n")
            assertEquals("/stays", takeRequest().first.target)
            assertNull(forwarded.poll(STALL_MILLISECONDS, TimeUnit.MILLISECONDS)?.first?.target)
        }
    }

    /**
     * Guards against calls for a caller that left: its close is told before other work that arrived with it, such as a
     * grant of memory for its request.
     */
    @Test
    fun closeIsToldBeforeWhatArrivedDuringTheSameStall() {
        val order = LinkedBlockingQueue<String>()
        val recording = object : ForwardHandler by handler {
            override fun forward(request: ForwardRequest, reply: CallerReply): RequestHandle {
                order += request.target
                return RequestHandle { order += "left ${request.target}" }
            }
        }
        ForwardServer(Address("127.0.0.1", 0), threads, PlainParser, recording).use { server ->
            val (leaving, other) = List(2) { CallerSocket(server.address) }
            leaving.send("GET /open HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
            assertEquals("/open", order.poll(10, TimeUnit.SECONDS))
            stallEventLoop()
            other.send("GET /other HTTP/1.1\r\nHost: h\r\nId: 2\r\n\r\n")
            leaving.close()
            assertEquals(listOf("left /open", "/other"), List(2) { order.poll(10, TimeUnit.SECONDS) })
            other.close()
        }
    }

    /** While draining, a request that waits on a connection is answered before the last answer closes it. */
    @Test
    fun pipelinedRequestsAreAnsweredInOrderAlsoWhileDraining() {
        listOf(null, "close").forEach { lastConnection ->
            if (lastConnection != null) server.drain()
            CallerSocket(server.address).use { caller ->
                caller.send((1..3).joinToString("") { "GET /$it HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n" })
                listOf("/1" to null, "/2" to null, "/3" to lastConnection).forEach { (path, connection) ->
                    val (request, reply) = takeRequest()
                    assertEquals(path, request.target)
                    assertNull(forwarded.poll())
                    onEventLoop {
                        reply.refuse(Refusal(RefusalReason.OVERLOADED, 1_500.milliseconds))
                        server.closeIdle()
                    }
                    val answer = caller.readAnswer()
                    assertEquals(503, answer.status)
                    assertEquals("1.500", answer.headers["retry-after"])
                    assertEquals(connection, answer.headers["connection"])
                }
            }
        }
    }

    @Test
    fun requestsWithAmbiguousLengthExcessiveSizeOrNoIdentifierAreRejected() {
        val cases =
            mapOf(
                "Id: 1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" to 400,
                "Id: 1\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" to 400,
                "Id: 1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" to 400,
                "Id: 1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd" to 400,
                "Id: 1\r\nContent-Length: +3\r\n\r\nabc" to 400,
                "Id: 1\r\nLong: ${"x".repeat(600)}\r\n\r\n" to 431,
                "Id: 1\r\nContent-Length: 2000\r\n\r\n" to 413,
                "\r\n" to 400,
            )
        cases.forEach { (rest, status) ->
            CallerSocket(server.address).use { caller ->
                caller.send("POST /1 HTTP/1.1\r\nHost: h\r\n$rest")
                assertEquals(status, caller.readAnswer().status, rest)
            }
        }
        assertTrue(forwarded.isEmpty())
    }

    @Test
    fun incompleteRequestIsRejectedAndIdleConnectionIsClosed() {
        CallerSocket(server.address).use { caller ->
            caller.send("GET /1 HTTP/1.1\r\nHo")
            assertEquals(408, caller.readAnswer().status)
        }
        CallerSocket(server.address).use { caller -> assertEquals("", caller.readUntilClosed()) }
    }

    @Test
    fun disconnectOfTheCallerIsReported() {
        CallerSocket(server.address).use { caller ->
            caller.send("GET /1 HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
            takeRequest()
        }
        assertTrue(callerDisconnected.await(10, TimeUnit.SECONDS))
    }

    @Test
    fun abortedStreamDoesNotLookComplete() {
        CallerSocket(server.address).use { caller ->
            caller.send("GET /1 HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
            val (_, reply) = takeRequest()
            onEventLoop {
                reply.sendHead(answerHead(200), length = null)
                reply.sendContent("part".encodeToByteArray())
            }
            assertEquals("chunked", caller.readHead().headers["transfer-encoding"])
            onEventLoop { reply.abort() }
            assertEquals("4\r\npart\r\n", caller.readUntilClosed())
        }
    }

    @Test
    fun idleCloseLeavesAnswersThatAreNotWritten() {
        CallerSocket(server.address).use { caller ->
            val answers = generateSequence(1) { it + 1 }.first {
                caller.send("GET /1 HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
                val (_, reply) = takeRequest()
                val isIdle = CompletableFuture<Boolean>()
                onEventLoop {
                    reply.sendHead(answerHead(200), ANSWER_BYTES)
                    reply.sendContent(ByteArray(ANSWER_BYTES))
                    reply.finish()
                    isIdle.complete(server.isIdle)
                    if (!isIdle.get()) server.closeIdle()
                }
                !isIdle.get()
            }
            repeat(answers) { assertEquals(ANSWER_BYTES, caller.readAnswer().body.length) }
        }
    }

    /** The process ends 300 ms after the start here; callers keep sending on their connections and open new ones. */
    @Test
    fun everyRequestThatIsReadBeforeTheEndOfADrainIsAnswered() {
        val scheduler = EventLoopScheduler(threads)
        val isEnded = CountDownLatch(1)
        val answered = ConcurrentHashMap.newKeySet<String>()
        val callers = List(4) { number ->
            thread { while (isEnded.count > 0) runCatching { sendUntilClosed(number, answered) } }
        }
        val finalDeadline = scheduler.now() + 300.milliseconds
        onEventLoop { ForwardDrain(server, scheduler, isEnded::countDown).start(scheduler.now(), finalDeadline) }
        val read = HashSet<String>()
        while (isEnded.count > 0) {
            val (request, reply) = forwarded.poll(10, TimeUnit.MILLISECONDS) ?: continue
            read += request.id.text
            scheduler.schedule(1.milliseconds) { reply.refuse(Refusal(RefusalReason.LEAVING)) }
        }
        server.close()
        callers.forEach { it.join() }
        assertEquals(emptySet(), read + forwarded.map { it.first.id.text } - answered)
    }

    /** Sends requests on one connection, which is idle at first. Fails when the server closes it. */
    private fun sendUntilClosed(number: Int, answered: MutableSet<String>) =
        CallerSocket(server.address).use { caller ->
            Thread.sleep(Random.nextLong(5))
            generateSequence { "$number-${System.nanoTime()}" }.forEach { id ->
                caller.send("GET /1 HTTP/1.1\r\nHost: h\r\nId: $id\r\n\r\n")
                caller.readAnswer()
                answered += id
            }
        }

    private companion object {
        const val ANSWER_BYTES = 250_000
        const val STALL_MILLISECONDS = 400L
    }
}
