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
    private val callers = RecordingCallers()
    private val limits =
        HttpLimits(bodyBytes = 2_000, headerBytes = 4_000, readIdle = 200.milliseconds, writeIdle = 200.milliseconds)
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
    fun badInputIsAnsweredWithProblemDetailsThatNameTheField() {
        val bigBody = "x".repeat(2_001)
        val rows = listOf(
            BadInput(post("/v1/completions", "{"), 400, "body"),
            BadInput(post("/v1/completions", "[]"), 400, "body"),
            BadInput(post("/v1/completions", """{"model":"m"}"""), 400, "prompt"),
            BadInput(post("/v1/completions", """{"model":"m","prompt":7}"""), 400, "prompt"),
            BadInput(post("/v1/completions", """{"model":"m","prompt":null}"""), 400, "prompt"),
            BadInput(post("/v1/completions", """{"prompt":"p"}"""), 400, "model"),
            BadInput(post("/v1/completions", """{"model":1,"prompt":"p"}"""), 400, "model"),
            BadInput(post("/v1/completions", """{"model":"m","prompt":"p","max_tokens":"7"}"""), 400, "max_tokens"),
            BadInput(post("/v1/completions", """{"model":"m","prompt":"p","max_tokens":0}"""), 400, "max_tokens"),
            BadInput(post("/v1/completions", """{"model":"m","prompt":"p","max_tokens":1.5}"""), 400, "max_tokens"),
            BadInput(post("/v1/completions", """{"model":"m","prompt":"p","stream":"true"}"""), 400, "stream"),
            BadInput(post("/v1/completions", """{"model":"m","prompt":"p","n":2}"""), 400, "n"),
            BadInput(post("/v1/completions", "[".repeat(2_000)), 400, "body"),
            BadInput(
                post("/v1/completions", """{"model":"m","prompt":${"[".repeat(65)}${"]".repeat(65)}}"""),
                400,
                "body",
            ),
            BadInput(post("/v1/chat/completions", """{"model":"m","prompt":"p"}"""), 400, "messages"),
            BadInput(post("/v1/chat/completions", """{"model":"m","messages":[]}"""), 400, "messages"),
            BadInput(post("/v1/chat/completions", """{"model":"m","messages":["p"]}"""), 400, "messages[0]"),
            BadInput(
                post("/v1/chat/completions", """{"model":"m","messages":[{"role":"user"}]}"""),
                400,
                "messages[0].content",
            ),
            BadInput(post("/v1/completions", "{}", "Lovageladder-Class: two words"), 400, "prompt"),
            BadInput(post("/services/desk/x", "{}", "Lovageladder-Class: two words"), 400, "Lovageladder-Class"),
            BadInput(post("/services/desk/x", "{}", "Idempotency-Key: ä"), 400, "Idempotency-Key", keyed = true),
            BadInput(post("/services/desk/x", "{}", "Idempotency-Key:"), 400, "Idempotency-Key", keyed = true),
            BadInput(post("/services/", "{}"), 404, "path"),
            BadInput(post("/services//x", "{}"), 404, "path"),
            BadInput(post("/v2/completions", "{}"), 404, "path"),
            BadInput("GET /v1/completions HTTP/1.1\r\nHost: a\r\n\r\n", 405, "method"),
            BadInput("CONNECT /services/desk/x HTTP/1.1\r\n\r\n", 405, "method"),
            BadInput("TRACE /services/desk/x HTTP/1.1\r\n\r\n", 405, "method"),
            BadInput(post("/services/desk/x", bigBody), 413, "body"),
            BadInput(post("/services/desk/x", bigBody, "Idempotency-Key: k"), 413, "body", keyed = true),
            BadInput(chunked("/services/desk/x", bigBody), 413, "body"),
            BadInput(post("/services/desk/x", "{}", "X-Long: " + "y".repeat(4_001)), 431, "headers", keyed = true),
            BadInput("GET /" + "z".repeat(9_000) + " HTTP/1.1\r\n\r\n", 414, "path", keyed = true),
            BadInput("NO HTTP\r\n\r\n", 400, null, keyed = true),
            BadInput("POST /services/desk/x HT", 408, null, keyed = true),
            BadInput("POST /services/desk/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf", 408, null),
        )
        for (row in rows) {
            CallerSocket(server.address).use { socket ->
                socket.send(row.request)
                val answer = socket.readAnswer()
                val problem = answer.json()
                val told = "${row.request.take(80)} -> $answer"
                assertEquals(row.status, answer.status, told)
                assertEquals("application/problem+json", answer.headers["content-type"], told)
                assertEquals(row.status.toString(), problem.text("status"), told)
                assertEquals(row.field, problem.text("field"), told)
                assertEquals("not-run", problem.text("submission"), told)
                assertEquals(if (row.keyed) "unknown" else "not-run", problem.text("outcome"), told)
                assertNotNull(problem.text("type"), told)
                assertNotNull(problem.text("title"), told)
                assertNotNull(problem.text("detail"), told)
            }
        }
        assertTrue(callers.submitted.isEmpty(), "nothing of it was submitted")
    }

    @Test
    fun aGenerationIsParsedIntoASubmission() {
        val text = """{"model":"lesson-lm","prompt":"a b c d e","max_tokens":7}"""
        val chat = """{"model":"lesson-lm","messages":[{"role":"user","content":"${"x".repeat(40)}"}]}"""
        val rows = listOf(
            ParsedRow(post("/v1/completions", text, "Lovageladder-Class: summary"), "lesson-lm", null, 5, 7, "summary"),
            ParsedRow(post("/v1/completions", text, "Lovageladder-Service: lm"), "lm", "lesson-lm", 5, 7),
            ParsedRow(post("/v1/chat/completions?a=b", chat), "lesson-lm", null, 11, null),
        )
        for (row in rows) {
            CallerSocket(server.address).use { socket ->
                socket.send(row.request)
                val submission = callers.next().submission
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
    fun aPlainCallKeepsMethodRemainderAndBody() {
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
                val submission = callers.next().submission
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
    fun aStreamIsWrittenTokenByTokenAndEndsWithUsage() {
        for (shape in GenerationShape.entries) {
            CallerSocket(server.address).use { socket ->
                socket.send(post(shape.path, generation(shape, stream = true)))
                val exchange = callers.next().exchange
                server.giveToken(exchange, 0, "one ")
                assertEquals("one ", contentOf(shape, socket.readEvent()))
                server.giveToken(exchange, 0, "one ")
                server.giveToken(exchange, 1, "two")
                assertEquals("two", contentOf(shape, socket.readEvent()))
                server.giveOutcome(exchange, RequestId("r-1"), Outcome.Generated("length", 3, 2))
                val last = Json.parseToJsonElement(socket.readEvent()).jsonObject
                assertEquals("length", last.choice().text("finish_reason"))
                assertEquals("5", last.getValue("usage").jsonObject.text("total_tokens"))
                assertEquals("[DONE]", socket.readEvent())
                assertEquals("r-1", socket.readTrailers()["lovageladder-request"])
            }
        }
    }

    @Test
    fun aWholeAnswerIsBuiltFromTheTokensAndTheConnectionServesTheNextRequest() {
        CallerSocket(server.address).use { socket ->
            for (shape in GenerationShape.entries) {
                socket.send(post(shape.path, generation(shape, stream = false)))
                val exchange = callers.next().exchange
                server.giveToken(exchange, 0, "ä ")
                server.giveToken(exchange, 1, "b")
                server.giveOutcome(exchange, RequestId("r-2"), Outcome.Generated("length", 3, 2))
                val answer = socket.readAnswer()
                assertEquals(200, answer.status)
                assertEquals("r-2", answer.headers["lovageladder-request"])
                val choice = answer.json().choice()
                val text = if (shape == GenerationShape.TEXT) choice.text("text") else choice.message("message")
                assertEquals("ä b", text)
            }
        }
    }

    @Test
    fun eachRefusalHasItsStatusAndTheTrueOutcome() {
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
                val answer = refuse(socket, Outcome.Refused(reason, Execution.NOT_RUN))
                assertEquals(status, answer.status, "$reason")
            }
        }
        val fault = Fault(Step.PLAIN_CALL, "desk-1", FaultCause.CONNECTION_LOST)
        val rows = listOf(
            RefusedRow(
                Outcome.Refused(RefusalReason.OVERLOADED, Execution.NOT_RUN, retryAfter = 1200.milliseconds),
                "2",
            ),
            RefusedRow(Outcome.Refused(RefusalReason.OVERLOADED, Execution.NOT_RUN, retryAfter = 1.seconds), "1"),
            RefusedRow(
                Outcome.Refused(RefusalReason.DEADLINE, Execution.UNKNOWN, fault = fault),
                null,
                "unknown",
                "unknown",
            ),
            RefusedRow(Outcome.Refused(RefusalReason.UPSTREAM_FAILED, Execution.RAN), null, "ran", "ran"),
            RefusedRow(
                Outcome.Refused(RefusalReason.STORE_UNAVAILABLE, Execution.UNKNOWN, submissionRan = false),
                null,
                outcome = "unknown",
            ),
        )
        CallerSocket(server.address).use { socket ->
            for (row in rows) {
                val answer = refuse(socket, row.refused)
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
    fun aRefusalAfterTokensIsAnErrorEventAndTheStreamIsNotEnded() {
        CallerSocket(server.address).use { socket ->
            socket.send(post("/v1/completions", generation(GenerationShape.TEXT, stream = true)))
            val exchange = callers.next().exchange
            server.giveToken(exchange, 0, "one")
            val refused = Outcome.Refused(RefusalReason.DEADLINE, Execution.RAN, retryAfter = 1.seconds)
            server.giveOutcome(exchange, RequestId("r-4"), refused)
            val rest = socket.readToEnd()
            assertTrue("event: error\ndata: {" in rest, rest)
            assertTrue("\"retry_after_ms\":1000" in rest, rest)
            assertTrue("[DONE]" !in rest, rest)
        }
    }

    @Test
    fun aCallerWhoGoesIsReportedWhereverItsRequestStands() {
        for (tokens in 0..2) {
            val exchange = CallerSocket(server.address).use { socket ->
                socket.send(post("/v1/completions", generation(GenerationShape.TEXT, stream = true)))
                val begun = callers.next().exchange
                repeat(tokens) {
                    server.giveToken(begun, it, "t")
                    socket.readEvent()
                }
                begun
            }
            assertEquals(exchange, callers.left.poll(10, TimeUnit.SECONDS), "after $tokens tokens")
            server.giveToken(exchange, tokens, "late")
            server.giveOutcome(exchange, RequestId("r"), Outcome.Generated("length", 1, tokens))
        }
        assertTrue(callers.left.isEmpty())
    }

    @Test
    fun aCallerWhoDoesNotReadIsGivenUp() {
        CallerSocket(server.address).use { socket ->
            socket.send(post("/v1/completions", generation(GenerationShape.TEXT, stream = true)))
            val exchange = callers.next().exchange
            val text = "x".repeat(100_000)
            var index = 0
            while (callers.left.isEmpty() && index < 10_000) server.giveToken(exchange, index++, text)
            assertEquals(exchange, callers.left.poll(10, TimeUnit.SECONDS))
        }
    }

    @Test
    fun pipelinedRequestsAreAnsweredOneAfterAnother() {
        CallerSocket(server.address).use { socket ->
            socket.send(post("/services/desk/1", "{}") + post("/services/desk/2", "{}"))
            for (number in 1..2) {
                val begun = callers.next()
                assertEquals("/$number", (begun.submission.content as RequestContent.Plain).path)
                assertTrue(callers.submitted.isEmpty(), "the next waits")
                val answer = PlainAnswer(201, "text/plain", "answer $number")
                server.giveOutcome(begun.exchange, RequestId("r"), Outcome.Answered(answer, replayed = number == 2))
                val received = socket.readAnswer()
                assertEquals(201, received.status)
                assertEquals("answer $number", received.body)
                assertEquals("true".takeIf { number == 2 }, received.headers["idempotency-replayed"])
            }
        }
    }

    @Test
    fun aConnectionStaysOpenWhereTheRequestAllowsIt() {
        val rows = listOf(
            PersistenceRow("HTTP/1.1", "", closes = false),
            PersistenceRow("HTTP/1.1", "Connection: close\r\n", closes = true),
            PersistenceRow("HTTP/1.0", "", closes = true),
            PersistenceRow("HTTP/1.1", "Expect: 100-continue\r\n", closes = false, continues = true),
        )
        for (row in rows) {
            CallerSocket(server.address).use { socket ->
                socket.send("POST /services/desk/x ${row.version}\r\n${row.header}Content-Length: 2\r\n\r\n")
                if (row.continues) assertEquals(100, socket.readHead().status, "$row")
                socket.send("{}")
                val exchange = callers.next().exchange
                server.giveOutcome(exchange, RequestId("r"), Outcome.Answered(PlainAnswer(200, null, "ok")))
                assertEquals("ok", socket.readAnswer().body, "$row")
                if (row.closes) assertEquals("", socket.readToEnd(), "$row") else refuse(socket, leaving)
            }
        }
    }

    @Test
    fun anAddressThatIsTakenIsReported() {
        assertFailsWith<BindException> {
            startCallerServer(server.address, handler = callers, registry = SimpleMeterRegistry())
        }
    }

    @Test
    fun aDrainingServerFinishesWhatRunsAndAsksToClose() {
        CallerSocket(server.address).use { socket ->
            socket.send(post("/services/desk/1", "{}"))
            val begun = callers.next()
            server.drain()
            server.giveOutcome(begun.exchange, RequestId("r"), Outcome.Answered(PlainAnswer(200, null, "")))
            assertEquals("close", socket.readAnswer().headers["connection"])
            assertEquals("", socket.readToEnd())
        }
    }

    private val leaving = Outcome.Refused(RefusalReason.LEAVING, Execution.NOT_RUN)

    private fun refuse(socket: CallerSocket, refused: Outcome.Refused): CallerAnswer {
        socket.send(post("/services/desk/x", "{}"))
        server.giveOutcome(callers.next().exchange, RequestId("r-3"), refused)
        return socket.readAnswer()
    }

    private fun generation(shape: GenerationShape, stream: Boolean): String = when (shape) {
        GenerationShape.TEXT -> """{"model":"m","prompt":"p","stream":$stream}"""
        GenerationShape.CHAT -> """{"model":"m","messages":[{"role":"user","content":"p"}],"stream":$stream}"""
    }

    private fun contentOf(shape: GenerationShape, event: String): String? {
        val choice = Json.parseToJsonElement(event).jsonObject.choice()
        return if (shape == GenerationShape.TEXT) choice.text("text") else choice.message("delta")
    }

    private fun JsonObject.message(name: String) = getValue(name).jsonObject.text("content")

    private data class BadInput(val request: String, val status: Int, val field: String?, val keyed: Boolean = false)

    private data class ParsedRow(
        val request: String,
        val service: String,
        val model: String?,
        val promptTokens: Int,
        val outputTokens: Int?,
        val requestClass: String? = null,
    )

    private data class PersistenceRow(
        val version: String,
        val header: String,
        val closes: Boolean,
        val continues: Boolean = false,
    )

    private data class PlainRow(val method: String, val target: String, val path: String)

    private data class RefusedRow(
        val refused: Outcome.Refused,
        val retryAfter: String?,
        val outcome: String = "not-run",
        val submission: String = "not-run",
    )
}

internal data class Submitted(val exchange: ExchangeId, val submission: Submission)

/** Keeps what callers did, in order. */
internal class RecordingCallers : CallerHandler {
    val submitted = LinkedBlockingQueue<Submitted>()
    val left = LinkedBlockingQueue<ExchangeId>()

    fun next(): Submitted = assertNotNull(submitted.poll(10, TimeUnit.SECONDS), "nothing was submitted")

    override fun submitted(exchange: ExchangeId, submission: Submission) {
        submitted.add(Submitted(exchange, submission))
    }

    override fun left(exchange: ExchangeId) {
        left.add(exchange)
    }
}

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
