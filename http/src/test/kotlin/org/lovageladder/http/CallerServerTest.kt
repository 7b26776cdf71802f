package org.lovageladder.http

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.lovageladder.core.Address
import org.lovageladder.core.ExchangeId
import org.lovageladder.core.Execution
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Outcome
import org.lovageladder.core.Outcome.Refused
import org.lovageladder.core.PlainAnswer
import org.lovageladder.core.RefusalReason
import org.lovageladder.core.RequestContent
import org.lovageladder.core.RequestId
import org.lovageladder.core.Step
import org.lovageladder.core.Submission
import java.net.BindException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CallerServerTest {
    private val callers = RecordingCallerHandler()
    private val limits = HttpLimits(
        maximumBodyBytes = 2_000,
        maximumHeaderBytes = 4_000,
        readTimeout = 200.milliseconds,
        writeTimeout = 200.milliseconds,
    )
    private val server = startCallerServer(
        bind = Address("127.0.0.1", 0),
        limits = limits,
        handler = callers,
        registry = SimpleMeterRegistry(),
    )

    @AfterTest
    fun stop() {
        server.close()
    }

    @Test
    fun invalidRequestIsAnsweredWithProblemThatNamesTheField() {
        val bigBody = "x".repeat(2_001)
        val chatWithoutContent = """{"model":"m","messages":[{"role":"user"}]}"""
        val fieldsOfTextRequests = listOf(
            "{" to "body",
            "[]" to "body",
            """{"model":"m"}""" to "prompt",
            """{"model":"m","prompt":7}""" to "prompt",
            """{"model":"m","prompt":null}""" to "prompt",
            """{"prompt":"p"}""" to "model",
            """{"model":1,"prompt":"p"}""" to "model",
            """{"model":"m","prompt":"p","max_tokens":"7"}""" to "max_tokens",
            """{"model":"m","prompt":"p","max_tokens":0}""" to "max_tokens",
            """{"model":"m","prompt":"p","max_tokens":1.5}""" to "max_tokens",
            """{"model":"m","prompt":"p","stream":"true"}""" to "stream",
            """{"model":"m","prompt":"p","n":2}""" to "n",
            "[".repeat(2_000) to "body",
            """{"model":"m","prompt":${"[".repeat(65)}${"]".repeat(65)}}""" to "body",
        )
        val rows = fieldsOfTextRequests.map { (body, field) ->
            InvalidRequestRow(post("/v1/completions", body), 400, field)
        } + listOf(
            InvalidRequestRow(post("/v1/chat/completions", """{"model":"m","prompt":"p"}"""), 400, "messages"),
            InvalidRequestRow(post("/v1/chat/completions", """{"model":"m","messages":[]}"""), 400, "messages"),
            InvalidRequestRow(post("/v1/chat/completions", """{"model":"m","messages":["p"]}"""), 400, "messages[0]"),
            InvalidRequestRow(post("/v1/chat/completions", chatWithoutContent), 400, "messages[0].content"),
            InvalidRequestRow(post("/v1/completions", "{}", "Lovageladder-Class: two words"), 400, "prompt"),
            InvalidRequestRow(post(DESK, "{}", "Lovageladder-Class: two words"), 400, "Lovageladder-Class"),
            InvalidRequestRow(post(DESK, "{}", "Idempotency-Key: ä"), 400, "Idempotency-Key", mayHaveKey = true),
            InvalidRequestRow(post(DESK, "{}", "Idempotency-Key:"), 400, "Idempotency-Key", mayHaveKey = true),
            InvalidRequestRow(post("/services/", "{}"), 404, "path"),
            InvalidRequestRow(post("/services//x", "{}"), 404, "path"),
            InvalidRequestRow(post("/v2/completions", "{}"), 404, "path"),
            InvalidRequestRow("GET /v1/completions HTTP/1.1\r\nHost: a\r\n\r\n", 405, "method"),
            InvalidRequestRow("CONNECT $DESK HTTP/1.1\r\n\r\n", 405, "method"),
            InvalidRequestRow("TRACE $DESK HTTP/1.1\r\n\r\n", 405, "method"),
            InvalidRequestRow(post(DESK, bigBody), 413, "body"),
            InvalidRequestRow(post(DESK, bigBody, "Idempotency-Key: k"), 413, "body", mayHaveKey = true),
            InvalidRequestRow(chunked(DESK, bigBody), 413, "body"),
            InvalidRequestRow(post(DESK, "{}", "X-Long: " + "y".repeat(4_001)), 431, "headers", mayHaveKey = true),
            InvalidRequestRow("GET /" + "z".repeat(9_000) + " HTTP/1.1\r\n\r\n", 414, "path", mayHaveKey = true),
            InvalidRequestRow("NO HTTP\r\n\r\n", 400, null, mayHaveKey = true),
            InvalidRequestRow("POST $DESK HT", 408, null, mayHaveKey = true),
            InvalidRequestRow("POST $DESK HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf", 408, null),
        )
        for (row in rows) {
            CallerSocket(server.address).use { socket ->
                socket.send(row.request)
                val answer = socket.readAnswer()
                val problem = answer.json()
                val description = "${row.request.take(80)} -> $answer"
                assertEquals(row.status, answer.status, description)
                assertEquals("application/problem+json", answer.headers["content-type"], description)
                assertEquals(row.status.toString(), problem.text("status"), description)
                assertEquals(row.field, problem.text("field"), description)
                assertEquals("not-run", problem.text("submission"), description)
                assertEquals(if (row.mayHaveKey) "unknown" else "not-run", problem.text("outcome"), description)
                assertNotNull(problem.text("type"), description)
                assertNotNull(problem.text("title"), description)
                assertNotNull(problem.text("detail"), description)
            }
        }
        assertTrue(callers.submitted.isEmpty(), "an invalid request was submitted")
    }

    @Test
    fun generationRequestIsParsedIntoSubmission() {
        val text = """{"model":"lesson-lm","prompt":"a b c d e","max_tokens":7}"""
        val chat = """{"model":"lesson-lm","messages":[{"role":"user","content":"${"x".repeat(40)}"}]}"""
        val classField = "Lovageladder-Class: summary"
        val rows = listOf(
            GenerationRow(post("/v1/completions", text, classField), "lesson-lm", null, 5, 7, requestClass = "summary"),
            GenerationRow(post("/v1/completions", text, "Lovageladder-Service: lm"), "lm", "lesson-lm", 5, 7),
            GenerationRow(post("/v1/chat/completions?a=b", chat), "lesson-lm", null, 11, null),
        )
        for (row in rows) {
            CallerSocket(server.address).use { socket ->
                socket.send(row.request)
                val submission = callers.nextSubmission().submission
                val content = assertIs<RequestContent.Generation>(submission.content)
                assertEquals(row.service, submission.service.text, "$row")
                assertEquals(row.requestClass, submission.requestClass?.text, "$row")
                assertEquals(row.model, content.model?.text, "$row")
                assertEquals(row.request.substringAfter("\r\n\r\n"), content.body, "$row")
                assertEquals(row.promptTokens, content.promptTokens, "$row")
                assertEquals(row.outputTokens, content.outputTokens, "$row")
            }
        }
    }

    @Test
    fun plainRequestKeepsMethodPathAndBody() {
        val rows = listOf(
            PlainRow("PUT", "/services/desk/seats/7?day=2", "/seats/7?day=2"),
            PlainRow("GET", "/services/desk", "/"),
            PlainRow("DELETE", "/services/desk/", "/"),
        )
        for (row in rows) {
            CallerSocket(server.address).use { socket ->
                socket.send(
                    "${row.method} ${row.target} HTTP/1.1\r\nIdempotency-Key: \"k1\"\r\nContent-Length: 2\r\n\r\n{}",
                )
                val submission = callers.nextSubmission().submission
                val content = assertIs<RequestContent.Plain>(submission.content)
                assertEquals("desk", submission.service.text)
                assertEquals("k1", submission.idempotencyKey?.text)
                assertEquals(row.method, content.method)
                assertEquals(row.path, content.path)
                assertEquals(64, content.bodyDigest.length)
            }
        }
    }

    @Test
    fun streamIsWrittenTokenByTokenAndEndsWithUsage() {
        for (api in GenerationApi.entries) {
            CallerSocket(server.address).use { socket ->
                socket.send(post(api.path, generation(api, stream = true)))
                val exchange = callers.nextSubmission().exchange
                server.sendToken(exchange, 0, "one ")
                assertEquals("one ", contentIn(api, socket.readEvent()))
                server.sendToken(exchange, 0, "one ")
                server.sendToken(exchange, 1, "two")
                assertEquals("two", contentIn(api, socket.readEvent()))
                server.sendOutcome(exchange, RequestId("r-1"), Outcome.Generated("length", 3, 2))
                val last = Json.parseToJsonElement(socket.readEvent()).jsonObject
                assertEquals("length", last.choice().text("finish_reason"))
                assertEquals("5", last.getValue("usage").jsonObject.text("total_tokens"))
                assertEquals("[DONE]", socket.readEvent())
                assertEquals("r-1", socket.readTrailers()["lovageladder-request"])
            }
        }
    }

    @Test
    fun wholeAnswerIsBuiltFromTokensAndConnectionIsReused() {
        CallerSocket(server.address).use { socket ->
            for (api in GenerationApi.entries) {
                socket.send(post(api.path, generation(api, stream = false)))
                val exchange = callers.nextSubmission().exchange
                server.sendToken(exchange, 0, "ä ")
                server.sendToken(exchange, 1, "b")
                server.sendOutcome(exchange, RequestId("r-2"), Outcome.Generated("length", 3, 2))
                val answer = socket.readAnswer()
                assertEquals(200, answer.status)
                assertEquals("r-2", answer.headers["lovageladder-request"])
                val choice = answer.json().choice()
                val text = if (api == GenerationApi.TEXT) choice.text("text") else choice.message("message")
                assertEquals("ä b", text)
            }
        }
    }

    @Test
    fun refusalIsAnsweredWithItsStatusAndOutcome() {
        val statuses = mapOf(
            RefusalReason.UNKNOWN_SERVICE to 404,
            RefusalReason.UNKNOWN_CLASS to 400,
            RefusalReason.WRONG_CONTENT to 400,
            RefusalReason.KEY_MISSING to 400,
            RefusalReason.KEY_REUSED to 422,
            RefusalReason.PROMPT_TOO_LARGE to 413,
            RefusalReason.OVERLOADED to 429,
            RefusalReason.NO_UPSTREAM to 503,
            RefusalReason.DEADLINE to 504,
            RefusalReason.STORE_UNAVAILABLE to 503,
            RefusalReason.UPSTREAM_FAILED to 502,
            RefusalReason.IN_PROGRESS to 409,
            RefusalReason.NOT_READY to 503,
            RefusalReason.LEAVING to 503,
        )
        assertEquals(RefusalReason.entries.toSet(), statuses.keys)
        CallerSocket(server.address).use { socket ->
            for ((reason, status) in statuses) {
                val answer = submitAndRefuse(socket, Refused(reason, Execution.NOT_RUN))
                assertEquals(status, answer.status, "$reason")
            }
        }
        val fault = Fault(Step.PLAIN_CALL, "desk-1", FaultCause.CONNECTION_LOST)
        val storeUnavailable = Refused(RefusalReason.STORE_UNAVAILABLE, Execution.UNKNOWN, submissionRan = false)
        val rows = listOf(
            RefusalRow(Refused(RefusalReason.OVERLOADED, Execution.NOT_RUN, retryAfter = 1200.milliseconds), "2"),
            RefusalRow(Refused(RefusalReason.OVERLOADED, Execution.NOT_RUN, retryAfter = 1.seconds), "1"),
            RefusalRow(Refused(RefusalReason.DEADLINE, Execution.UNKNOWN, fault = fault), null, "unknown", "unknown"),
            RefusalRow(Refused(RefusalReason.UPSTREAM_FAILED, Execution.RAN), null, "ran", "ran"),
            RefusalRow(storeUnavailable, null, outcome = "unknown"),
        )
        CallerSocket(server.address).use { socket ->
            for (row in rows) {
                val answer = submitAndRefuse(socket, row.refused)
                val problem = answer.json()
                assertEquals(row.outcome, problem.text("outcome"), "$row")
                assertEquals(row.submission, problem.text("submission"), "$row")
                assertEquals(row.retryAfter, answer.headers["retry-after"], "$row")
                assertEquals(row.refused.retryAfter, problem.text("retry_after_ms")?.toLong()?.milliseconds, "$row")
                assertEquals(row.refused.fault?.step?.name, problem.text("step"), "$row")
                assertEquals(row.refused.fault?.peer, problem.text("peer"), "$row")
                assertEquals("r-3", problem.text("request"), "$row")
            }
        }
    }

    @Test
    fun refusalAfterTokensIsWrittenAsErrorEventWithoutEndOfStream() {
        CallerSocket(server.address).use { socket ->
            socket.send(post("/v1/completions", generation(GenerationApi.TEXT, stream = true)))
            val exchange = callers.nextSubmission().exchange
            server.sendToken(exchange, 0, "one")
            val refused = Refused(RefusalReason.DEADLINE, Execution.RAN, retryAfter = 1.seconds)
            server.sendOutcome(exchange, RequestId("r-4"), refused)
            val rest = socket.readUntilClosed()
            assertTrue("event: error\ndata: {" in rest, rest)
            assertTrue("\"retry_after_ms\":1000" in rest, rest)
            assertTrue("[DONE]" !in rest, rest)
        }
    }

    @Test
    fun disconnectIsReportedAtEachStageOfAStream() {
        for (tokens in 0..2) {
            val exchange = CallerSocket(server.address).use { socket ->
                socket.send(post("/v1/completions", generation(GenerationApi.TEXT, stream = true)))
                val submittedExchange = callers.nextSubmission().exchange
                repeat(tokens) {
                    server.sendToken(submittedExchange, it, "t")
                    socket.readEvent()
                }
                submittedExchange
            }
            assertEquals(exchange, callers.left.poll(10, TimeUnit.SECONDS), "after $tokens tokens")
            server.sendToken(exchange, tokens, "late")
            server.sendOutcome(exchange, RequestId("r"), Outcome.Generated("length", 1, tokens))
        }
        assertTrue(callers.left.isEmpty())
    }

    @Test
    fun callerThatDoesNotReadIsDisconnected() {
        CallerSocket(server.address).use { socket ->
            socket.send(post("/v1/completions", generation(GenerationApi.TEXT, stream = true)))
            val exchange = callers.nextSubmission().exchange
            val text = "x".repeat(100_000)
            var index = 0
            while (callers.left.isEmpty() && index < 10_000) server.sendToken(exchange, index++, text)
            assertEquals(exchange, callers.left.poll(10, TimeUnit.SECONDS))
        }
    }

    @Test
    fun pipelinedRequestsAreHandledOneAtATime() {
        CallerSocket(server.address).use { socket ->
            socket.send(post("/services/desk/1", "{}") + post("/services/desk/2", "{}"))
            for (number in 1..2) {
                val submitted = callers.nextSubmission()
                assertEquals("/$number", (submitted.submission.content as RequestContent.Plain).path)
                assertTrue(callers.submitted.isEmpty(), "the second request was submitted too early")
                val answer = PlainAnswer(201, "text/plain", "answer $number")
                server.sendOutcome(submitted.exchange, RequestId("r"), Outcome.Answered(answer, replayed = number == 2))
                val received = socket.readAnswer()
                assertEquals(201, received.status)
                assertEquals("answer $number", received.body)
                assertEquals("true".takeIf { number == 2 }, received.headers["idempotency-replayed"])
            }
        }
    }

    @Test
    fun connectionStaysOpenWhenTheRequestAllowsIt() {
        val rows = listOf(
            KeepAliveRow("HTTP/1.1", "", isClosed = false),
            KeepAliveRow("HTTP/1.1", "Connection: close\r\n", isClosed = true),
            KeepAliveRow("HTTP/1.0", "", isClosed = true),
            KeepAliveRow("HTTP/1.1", "Expect: 100-continue\r\n", isClosed = false, expectsContinue = true),
        )
        for (row in rows) {
            CallerSocket(server.address).use { socket ->
                socket.send("POST $DESK ${row.version}\r\n${row.header}Content-Length: 2\r\n\r\n")
                if (row.expectsContinue) assertEquals(100, socket.readHead().status, "$row")
                socket.send("{}")
                val exchange = callers.nextSubmission().exchange
                server.sendOutcome(exchange, RequestId("r"), Outcome.Answered(PlainAnswer(200, null, "ok")))
                assertEquals("ok", socket.readAnswer().body, "$row")
                if (row.isClosed) {
                    assertEquals("", socket.readUntilClosed(), "$row")
                } else {
                    submitAndRefuse(socket, leaving)
                }
            }
        }
    }

    @Test
    fun startFailsWhenTheAddressIsInUse() {
        assertFailsWith<BindException> {
            startCallerServer(server.address, handler = callers, registry = SimpleMeterRegistry())
        }
    }

    @Test
    fun drainingServerFinishesOpenRequestsAndClosesConnections() {
        CallerSocket(server.address).use { socket ->
            socket.send(post("/services/desk/1", "{}"))
            val submitted = callers.nextSubmission()
            server.drain()
            server.sendOutcome(submitted.exchange, RequestId("r"), Outcome.Answered(PlainAnswer(200, null, "")))
            assertEquals("close", socket.readAnswer().headers["connection"])
            assertEquals("", socket.readUntilClosed())
        }
    }

    private val leaving = Refused(RefusalReason.LEAVING, Execution.NOT_RUN)

    private fun submitAndRefuse(socket: CallerSocket, refused: Refused): CallerAnswer {
        socket.send(post(DESK, "{}"))
        server.sendOutcome(callers.nextSubmission().exchange, RequestId("r-3"), refused)
        return socket.readAnswer()
    }

    private fun generation(api: GenerationApi, stream: Boolean): String = when (api) {
        GenerationApi.TEXT -> """{"model":"m","prompt":"p","stream":$stream}"""
        GenerationApi.CHAT -> """{"model":"m","messages":[{"role":"user","content":"p"}],"stream":$stream}"""
    }

    private fun contentIn(api: GenerationApi, event: String): String? {
        val choice = Json.parseToJsonElement(event).jsonObject.choice()
        return if (api == GenerationApi.TEXT) choice.text("text") else choice.message("delta")
    }

    private fun JsonObject.message(name: String) = getValue(name).jsonObject.text("content")

    private data class InvalidRequestRow(
        val request: String,
        val status: Int,
        val field: String?,
        val mayHaveKey: Boolean = false,
    )

    private data class GenerationRow(
        val request: String,
        val service: String,
        val model: String?,
        val promptTokens: Int,
        val outputTokens: Int?,
        val requestClass: String? = null,
    )

    private data class KeepAliveRow(
        val version: String,
        val header: String,
        val isClosed: Boolean,
        val expectsContinue: Boolean = false,
    )

    private data class PlainRow(val method: String, val target: String, val path: String)

    private data class RefusalRow(
        val refused: Refused,
        val retryAfter: String?,
        val outcome: String = "not-run",
        val submission: String = "not-run",
    )
}

internal data class Submitted(val exchange: ExchangeId, val submission: Submission)

/** Records submissions and disconnects in order. */
internal class RecordingCallerHandler : CallerHandler {
    val submitted = LinkedBlockingQueue<Submitted>()
    val left = LinkedBlockingQueue<ExchangeId>()

    fun nextSubmission(): Submitted = assertNotNull(submitted.poll(10, TimeUnit.SECONDS), "no request was submitted")

    override fun onSubmission(exchange: ExchangeId, submission: Submission) {
        submitted.add(Submitted(exchange, submission))
    }

    override fun onCallerDisconnected(exchange: ExchangeId) {
        left.add(exchange)
    }
}

/** The path of a request to a plain service. */
private const val DESK = "/services/desk/x"

private fun post(path: String, body: String, vararg headers: String): String {
    val length = body.toByteArray().size
    val lines = headers.joinToString("") { "$it\r\n" }
    return "POST $path HTTP/1.1\r\nHost: a\r\n${lines}Content-Length: $length\r\n\r\n$body"
}

private fun chunked(path: String, body: String): String {
    val length = body.length.toString(16)
    return "POST $path HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n$length\r\n$body\r\n0\r\n\r\n"
}

private fun JsonObject.text(name: String): String? = get(name)?.jsonPrimitive?.content

private fun JsonObject.choice(): JsonObject =
    (getValue("choices") as kotlinx.serialization.json.JsonArray).first().jsonObject
