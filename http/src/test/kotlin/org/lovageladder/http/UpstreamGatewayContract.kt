package org.lovageladder.http

import org.lovageladder.core.Address
import org.lovageladder.core.AttemptId
import org.lovageladder.core.Execution
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.HostName
import org.lovageladder.core.IdempotencyKey
import org.lovageladder.core.ModelName
import org.lovageladder.core.PoolName
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ReleaseEntry
import org.lovageladder.core.RequestContent
import org.lovageladder.core.RequestId
import org.lovageladder.core.TransferTicket
import org.lovageladder.core.UpstreamCall
import org.lovageladder.core.UpstreamGateway
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.UpstreamOrder
import org.lovageladder.core.UpstreamReport
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** What every [UpstreamGateway] has to do with engines and plain services that work. */
internal abstract class UpstreamGatewayContract {
    protected abstract val gateway: UpstreamGateway

    /** An engine that prefills only. */
    protected abstract val prefillEngine: ReleaseEntry.Upstream

    /** An engine that decodes, with memory for at least four calls. */
    protected abstract val decodeEngine: ReleaseEntry.Upstream

    /** A plain service that checks fencing numbers. */
    protected abstract val service: ReleaseEntry.Upstream

    /** How often the plain service executed [key]. */
    protected abstract fun executions(key: IdempotencyKey): Int

    /** Tokens of a prompt, as the engines produce them. */
    protected abstract fun tokens(prompt: String, range: IntRange): List<String>

    private val lastAttempt = AtomicInteger()

    @Test
    fun aPrefillGoesOnAsADecodeWithEachTokenOnce() {
        for (shape in GenerationShape.entries) {
            val content = generation(shape, "one two three")
            val ready = run(prefillEngine, UpstreamCall.Prefill(content, priority = 0)).last
            val ticket = assertIs<UpstreamReport.PrefillReady>(ready).ticket
            assertTrue(ticket.keepFor.isPositive())
            val decoded = run(decodeEngine, decode(content, bound = 4, ticket))
            assertEquals(tokens("one two three", 0..3), decoded.tokens.map { it.text }, "$shape")
            assertEquals((0..3).toList(), decoded.tokens.map { it.index }, "$shape")
            assertEquals(UpstreamReport.Finished(4, "length"), decoded.last, "$shape")
        }
    }

    @Test
    fun aStreamResumesFromAnIndex() {
        val content = generation(GenerationShape.TEXT, "go on")
        for (fromIndex in listOf(0, 1, 5)) {
            val decoded = run(decodeEngine, decode(content, bound = 6, ticket = null, fromIndex))
            assertEquals((fromIndex..5).toList(), decoded.tokens.map { it.index })
            assertEquals(tokens("go on", fromIndex..5), decoded.tokens.map { it.text })
            assertEquals(UpstreamReport.Finished(6, "length"), decoded.last)
        }
    }

    @Test
    fun aCancelledCallEndsAndTheEngineHoldsNothing() {
        for (tokensSeen in 0..2) {
            val call = start(decodeEngine, decode(generation(GenerationShape.TEXT, "long"), bound = 1000))
            repeat(tokensSeen) { assertIs<UpstreamReport.Token>(call.next()) }
            awaitTrue("the cancel is confirmed after $tokensSeen tokens") { cancel(call.attempt, decodeEngine) }
            assertEquals(emptyList(), running(decodeEngine))
            val last = assertIs<UpstreamReport.Failed>(call.last())
            assertEquals(FaultCause.CANCELLED, last.fault.cause)
            assertTrue(cancel(call.attempt, decodeEngine), "a repeated cancel is confirmed")
        }
    }

    @Test
    fun aCallThatEndedIsConfirmedWithoutAsking() {
        val finished = start(decodeEngine, decode(generation(GenerationShape.TEXT, "short"), bound = 1))
        finished.last()
        assertTrue(cancel(finished.attempt, decodeEngine))
        val answered = start(service, plain("GET", "/lookup", key = null))
        answered.last()
        assertTrue(cancel(answered.attempt, service))
    }

    @Test
    fun runningCallsAreListedAndCancelledByName() {
        val calls = List(2) { start(decodeEngine, decode(generation(GenerationShape.TEXT, "run"), bound = 1000)) }
        calls.forEach { it.next() }
        val names = calls.map { it.attempt.toString() }
        assertEquals(names.toSet(), running(decodeEngine)?.toSet())
        assertTrue(awaitCallback { gateway.cancelByName(names[0], decodeEngine, it) })
        assertEquals(listOf(names[1]), running(decodeEngine))
        assertTrue(awaitCallback { gateway.cancelByName("never-seen", decodeEngine, it) }, "nothing is held for it")
        assertTrue(cancel(calls[1].attempt, decodeEngine))
        calls.forEach { assertIs<UpstreamReport.Failed>(it.last()) }
    }

    @Test
    fun aPlainCallCarriesItsKeyAndIsExecutedOnce() {
        for (method in listOf("POST", "PUT", "DELETE")) {
            val key = IdempotencyKey("key-$method")
            val answered = assertIs<UpstreamReport.Answered>(run(service, plain(method, "/seats/7?day=2", key)).last)
            assertEquals(200, answered.answer.status)
            assertEquals("application/json", answered.answer.contentType)
            assertTrue("key-$method" in answered.answer.body, answered.answer.body)
            assertEquals(1, executions(key))
        }
    }

    @Test
    fun ordersAreCarriedOutInTheOrderOfTheirNumbers() {
        val drill = ModelName("drill")
        val rows = listOf(
            OrderRow(UpstreamOrder.LoadAdapter(drill), 5, null),
            OrderRow(UpstreamOrder.LoadAdapter(drill), 5, null),
            OrderRow(UpstreamOrder.UnloadAdapter(drill), 4, FaultCause.FENCED),
            OrderRow(UpstreamOrder.UnloadAdapter(drill), 6, null),
            OrderRow(UpstreamOrder.UnloadAdapter(drill), 6, null),
            OrderRow(UpstreamOrder.ChangeRole(PoolRole.PREFILL), 3, FaultCause.FENCED),
            OrderRow(UpstreamOrder.ChangeRole(PoolRole.PREFILL), 7, null),
            OrderRow(UpstreamOrder.ChangeRole(PoolRole.PLAIN), 8, FaultCause.REJECTED),
        )
        for (row in rows) {
            val fault = order(decodeEngine, row.order, row.fencing)
            assertEquals(row.cause, fault?.cause, "$row: $fault")
        }
        val refused = run(decodeEngine, decode(generation(GenerationShape.TEXT, "p"), bound = 1)).last
        assertEquals(Execution.NOT_RUN, assertIs<UpstreamReport.Failed>(refused).execution, "its role changed")
    }

    @Test
    fun anOutdatedFencingNumberKeepsAPlainCallFromRunning() {
        val key = IdempotencyKey("fenced")
        assertIs<UpstreamReport.Answered>(run(service, plain("POST", "/a", IdempotencyKey("new"), fencing = 9)).last)
        val failed = assertIs<UpstreamReport.Failed>(run(service, plain("POST", "/a", key, fencing = 8)).last)
        assertEquals(FaultCause.FENCED, failed.fault.cause)
        assertEquals(Execution.NOT_RUN, failed.execution)
        assertEquals(0, executions(key))
    }

    @Test
    fun aDeadUpstreamRanNothing() {
        val dead = upstream("dead", FaultyPeer.deadAddress())
        val content = generation(GenerationShape.TEXT, "p")
        val calls = listOf(
            UpstreamCall.Prefill(content, 0),
            decode(content, bound = 1),
            plain("POST", "/a", IdempotencyKey("k")),
            plain("GET", "/a", key = null),
        )
        for (call in calls) {
            val failed = assertIs<UpstreamReport.Failed>(run(dead, call).last, "$call")
            assertEquals(Execution.NOT_RUN, failed.execution, "$call")
            assertEquals("dead", failed.fault.peer, "$call")
        }
        assertNull(running(dead))
        assertTrue(!awaitCallback<Boolean> { gateway.cancelByName("x", dead, it) }, "nothing was confirmed")
        assertNotNull(order(dead, UpstreamOrder.ChangeRole(PoolRole.DECODE), fencing = 1))
    }

    protected fun run(upstream: ReleaseEntry.Upstream, call: UpstreamCall): EndedCall {
        val started = start(upstream, call)
        val last = started.last()
        return EndedCall(started.tokensSeen, last)
    }

    protected fun start(upstream: ReleaseEntry.Upstream, call: UpstreamCall): ReportedCall {
        val attempt = AttemptId(RequestId("request"), lastAttempt.incrementAndGet())
        val reported = ReportedCall(attempt)
        gateway.start(attempt, upstream, call, reported.reports::add)
        return reported
    }

    protected fun cancel(attempt: AttemptId, upstream: ReleaseEntry.Upstream): Boolean =
        awaitCallback { gateway.cancel(attempt, upstream, it) }

    protected fun running(upstream: ReleaseEntry.Upstream): List<String>? =
        awaitCallback { gateway.running(upstream, it) }

    protected fun order(upstream: ReleaseEntry.Upstream, order: UpstreamOrder, fencing: Long): Fault? =
        awaitCallback { gateway.order(upstream, order, fencing, it) }

    protected fun generation(shape: GenerationShape, prompt: String) = RequestContent.Generation(
        path = shape.path,
        body = when (shape) {
            GenerationShape.TEXT -> """{"prompt":"$prompt","max_tokens":3,"temperature":0.5}"""
            GenerationShape.CHAT -> """{"messages":[{"role":"user","content":"$prompt"}],"max_completion_tokens":9}"""
        },
        promptTokens = 3,
        outputTokens = null,
        prefixDigest = 0,
    )

    protected fun decode(
        content: RequestContent.Generation,
        bound: Int,
        ticket: TransferTicket? = null,
        fromIndex: Int = 0,
    ) = UpstreamCall.Decode(content, bound, priority = 1, ticket, fromIndex)

    protected fun plain(method: String, path: String, key: IdempotencyKey?, fencing: Long? = null) =
        UpstreamCall.Plain(RequestContent.Plain(method, path, "application/json", "{}", "digest"), key, fencing)

    protected fun upstream(name: String, address: Address) =
        ReleaseEntry.Upstream(UpstreamName(name), PoolName("pool"), HostName("host"), address)

    protected data class EndedCall(val tokens: List<UpstreamReport.Token>, val last: UpstreamReport)

    /** A started call and what was reported of it. */
    protected class ReportedCall(val attempt: AttemptId) {
        val reports = LinkedBlockingQueue<UpstreamReport>()
        val tokensSeen = ArrayList<UpstreamReport.Token>()

        fun next(): UpstreamReport = assertNotNull(reports.poll(20, TimeUnit.SECONDS), "nothing was reported")

        fun last(): UpstreamReport {
            while (true) {
                val report = next()
                if (report !is UpstreamReport.Token) return report
                tokensSeen.add(report)
            }
        }
    }

    private data class OrderRow(val order: UpstreamOrder, val fencing: Long, val cause: FaultCause?)
}
