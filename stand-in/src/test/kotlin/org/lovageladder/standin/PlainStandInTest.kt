package org.lovageladder.standin

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.measureTime

class PlainStandInTest {
    @Test
    fun executionsAreCountedPerIdempotencyKey() {
        withPlain(PlainSettings(name = "klon-app")) { client ->
            for ((key, execution) in listOf("a" to "1", "b" to "1", "a" to "2")) {
                val answer = client.post("/clones", """{"n":1}""", IDEMPOTENCY_KEY, key).json()
                assertEquals("klon-app", answer.text("service"))
                assertEquals("1", answer.text("echo", "n"))
                assertEquals(execution, answer.text("execution"))
            }
            assertEquals(200, client.get("/lookup/7").statusCode())
            assertEquals("""{"executions":{"a":2,"b":1},"total":4,"running":0}""", client.get("/executions").body())
        }
    }

    @Test
    fun callWithDroppedAnswerIsExecuted() {
        withPlain { client ->
            client.post("/fault", """{"drop_answers":1}""")
            assertTrue(runCatching { client.post("/clones", "{}", IDEMPOTENCY_KEY, "a") }.isFailure)
            assertEquals("1", client.json("/executions").text("executions", "a"))
            assertEquals(200, client.post("/clones", "{}", IDEMPOTENCY_KEY, "b").statusCode())
        }
    }

    @Test
    fun slownessAndStallsDelayTheAnswer() {
        val cases = listOf(
            DelayCase("""{"slow_factor":10,"for_ms":60000}""", 300.milliseconds),
            DelayCase("""{"stall_ms":300}""", 300.milliseconds),
        )
        for (case in cases) {
            withPlain(PlainSettings(latency = 30.milliseconds)) { client ->
                val duration = measureTime {
                    client.post("/fault", case.fault)
                    client.get("/lookup")
                }
                assertTrue(duration >= case.minimumDuration, "${case.fault} took $duration")
            }
        }
    }

    @Test
    fun callsAboveTheConcurrencyLimitAreRefused() {
        withPlain(PlainSettings(latency = 1.hours, maximumRunning = 1)) { client ->
            client.postAsync("/clones", "{}")
            awaitTrue { client.json("/executions").text("running") == "1" }
            val refused = client.get("/lookup")
            assertEquals(503, refused.statusCode())
            assertEquals("true", refused.headers().firstValue(PlainStandIn.NOT_EXECUTED_HEADER).get())
        }
    }

    @Test
    fun crashClosesConnectionsOfRunningCalls() {
        withPlain(PlainSettings(latency = 1.hours)) { client ->
            val running = client.postAsync("/clones", "{}")
            awaitTrue { client.json("/executions").text("running") == "1" }
            client.post("/fault", """{"crash":true}""")
            assertTrue(running.handle { _, error -> error != null }.get())
            awaitTrue { runCatching { client.get("/health") }.isFailure }
        }
    }

    private data class DelayCase(val fault: String, val minimumDuration: Duration)

    private companion object {
        const val IDEMPOTENCY_KEY = "Idempotency-Key"
    }
}
