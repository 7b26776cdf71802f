package org.lovageladder.http.forward

import org.lovageladder.core.Address
import org.lovageladder.core.forward.CallerLimits
import org.lovageladder.core.forward.CallerReply
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.Refusal
import org.lovageladder.core.forward.RefusalReason
import org.lovageladder.core.forward.RequestHandle
import org.lovageladder.http.CallerSocket
import org.lovageladder.http.HttpThreads
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val LARGE = 300_000
private const val MAXIMUM_BODY = 400_000

/** Checks that the requests which a server holds are bounded, whatever callers send and however their requests end. */
class RequestMemoryTest {
    private val threads = HttpThreads(1)
    private val forwarded = LinkedBlockingQueue<Pair<ForwardRequest, CallerReply>>()
    private val handler = object : ForwardHandler {
        override val limits =
            CallerLimits(4_096, MAXIMUM_BODY, headerTimeout = 500.milliseconds, idleTimeout = 10.seconds)

        override fun forward(request: ForwardRequest, reply: CallerReply): RequestHandle {
            forwarded.add(request to reply)
            return RequestHandle {}
        }
    }
    private val pool = RequestBufferPool(1_048_576)
    private val server = ForwardServer(Address("127.0.0.1", 0), threads, PlainParser, handler, pool)
    private val callers = ArrayList<CallerSocket>()

    @AfterTest
    fun close() {
        callers.forEach { it.close() }
        server.close()
        threads.close()
    }

    private fun caller() = CallerSocket(server.address).also { callers += it }

    private fun head(rest: String) = "POST /1 HTTP/1.1\r\nHost: h\r\n$rest\r\n\r\n"

    private fun whole(size: Int) = head("Id: 1\r\nContent-Length: $size") + "x".repeat(size)

    private fun chunked(size: Int) =
        head("Id: 1\r\nTransfer-Encoding: chunked") + "${size.toString(16)}\r\n${"x".repeat(size)}\r\n"

    private fun takeRequest() = assertNotNull(forwarded.poll(10, TimeUnit.SECONDS))

    private fun refuse(reply: CallerReply) =
        EventLoopScheduler(threads).execute { reply.refuse(Refusal(RefusalReason.OVERLOADED)) }

    private fun awaitHeldBytes(name: String, isExpected: (Int) -> Boolean) {
        val end = System.nanoTime() + 10.seconds.inWholeNanoseconds
        while (!isExpected(pool.heldBytes) && System.nanoTime() < end) Thread.sleep(1)
        assertTrue(isExpected(pool.heldBytes), "$name: ${pool.heldBytes} bytes are held")
    }

    /**
     * Guards against entries that stand still because the bodies of many requests use up their memory. Load pattern:
     * large requests beside small ones.
     */
    @Test
    fun largeRequestsBeyondTheLimitAreRefusedAtOnceWhileSmallOnesGoOn() {
        repeat(2) { caller().send(whole(LARGE)) }
        val held = List(2) { takeRequest() }
        mapOf(
            "announced" to head("Id: 1\r\nContent-Length: $LARGE"),
            "expects 100" to head("Id: 1\r\nContent-Length: $LARGE\r\nExpect: 100-continue"),
            "sends all before it reads" to whole(LARGE),
            "chunked" to chunked(LARGE),
        ).forEach { (name, text) ->
            val refused = caller().apply { send(text) }
            val answer = refused.readAnswer()
            assertEquals(503, answer.status, name)
            assertEquals("1.000", answer.headers["retry-after"], name)
            assertEquals("close", answer.headers["connection"], name)
            assertEquals("", refused.readUntilClosed(), name)
            caller().send(whole(1_000))
            assertEquals(1_000, takeRequest().first.body.size, name)
        }
        held.forEach { (_, reply) -> refuse(reply) }
        awaitHeldBytes("large ones ended") { it < LARGE }
        caller().send(chunked(LARGE) + "0\r\n\r\n")
        assertEquals(LARGE, takeRequest().first.body.size)
    }

    @Test
    fun memoryIsGivenBackHoweverARequestEnds() {
        val malformed = head("Id: 1\r\nTransfer-Encoding: chunked") + "5\r\nxxxxx\r\nzz\r\n"
        mapOf<String, (CallerSocket) -> Unit>(
            "answered" to {
                it.send(whole(LARGE))
                refuse(takeRequest().second)
                it.readAnswer()
            },
            "aborted" to {
                it.send(whole(LARGE))
                val (_, reply) = takeRequest()
                EventLoopScheduler(threads).execute { reply.abort() }
                it.readUntilClosed()
            },
            "caller left in the body" to {
                it.send(chunked(LARGE))
                awaitHeldBytes("in the body") { held -> held > LARGE }
                it.close()
            },
            "caller left later" to {
                it.send(whole(LARGE))
                takeRequest()
                it.close()
            },
            "caller left, a request waits" to {
                it.send(whole(LARGE) + whole(LARGE))
                takeRequest()
                awaitHeldBytes("both") { held -> held > 2 * LARGE }
                it.close()
            },
            "too many wait" to {
                it.send(whole(1_000))
                takeRequest()
                it.send(whole(1_000).repeat(33))
            },
            "malformed" to { assertStatus(400, it, malformed) },
            "too large" to { assertStatus(413, it, chunked(MAXIMUM_BODY + 1)) },
            "no identifier" to { assertStatus(400, it, head("Content-Length: 1000") + "x".repeat(1_000)) },
            "late" to { assertStatus(408, it, head("Id: 1\r\nContent-Length: $LARGE")) },
            "unknown expectation" to { assertStatus(417, it, head("Id: 1\r\nContent-Length: 9\r\nExpect: tea")) },
        ).forEach { (name, exchange) ->
            exchange(caller())
            awaitHeldBytes(name) { it == 0 }
        }
    }

    private fun assertStatus(status: Int, caller: CallerSocket, text: String) {
        caller.send(text)
        assertEquals(status, caller.readAnswer().status)
    }

    /** A refusal does not overtake the answer to a request before it on the connection. */
    @Test
    fun refusalComesAfterTheAnswersBeforeIt() {
        repeat(2) { caller().send(whole(LARGE)) }
        repeat(2) { takeRequest() }
        val pipelining = caller().apply { send(whole(1_000) + whole(LARGE)) }
        val (_, reply) = takeRequest()
        EventLoopScheduler(threads).execute {
            reply.refuse(Refusal(RefusalReason.TIMEOUT))
        }
        assertEquals(listOf(504, 503), List(2) { pipelining.readAnswer().status })
    }

    @Test
    fun callerThatExpects100GetsItWhenThereIsMemory() {
        val caller = caller().apply { send(head("Id: 1\r\nContent-Length: $LARGE\r\nExpect: 100-continue")) }
        assertEquals(100, caller.readHead().status)
        caller.send("x".repeat(LARGE))
        val (request, reply) = takeRequest()
        assertEquals(LARGE, request.body.size)
        refuse(reply)
        assertEquals(503, caller.readAnswer().status)
    }
}
