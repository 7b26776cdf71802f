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

/** Behaviour required of every [UpstreamGateway] towards engines and plain services that work. */
internal abstract class UpstreamGatewayContract {
    protected abstract val gateway: UpstreamGateway

    /** An engine with the prefill role. */
    protected abstract val prefillEngine: ReleaseEntry.Upstream

    /** An engine with the decode role and memory for at least four calls. */
    protected abstract val decodeEngine: ReleaseEntry.Upstream

    /** A plain service that checks fencing numbers. */
    protected abstract val service: ReleaseEntry.Upstream

    /** How often the plain service has executed the action with [key]. */
    protected abstract fun executions(key: IdempotencyKey): Int

    /** The tokens that the engines produce for [prompt], for the indices in [range]. */
    protected abstract fun tokens(prompt: String, range: IntRange): List<String>

    private val lastAttempt = AtomicInteger()

    @Test
    fun decodeContinuesAPrefillAndReportsEachTokenOnce() {
        for (api in GenerationApi.entries) {
            val content = generation(api, "one two three")
            val ready = run(prefillEngine, UpstreamCall.Prefill(content, priority = 0)).finalReport
            val ticket = assertIs<UpstreamReport.PrefillReady>(ready).ticket
            assertTrue(ticket.keepFor.isPositive())
            val decoded = run(decodeEngine, decode(content, bound = 4, ticket))
            assertEquals(tokens("one two three", 0..3), decoded.tokens.map { it.text }, "$api")
            assertEquals((0..3).toList(), decoded.tokens.map { it.index }, "$api")
            assertEquals(UpstreamReport.Finished(4, "length"), decoded.finalReport, "$api")
        }
    }

    @Test
    fun decodeResumesFromAnIndex() {
        val content = generation(GenerationApi.TEXT, "go on")
        for (fromIndex in listOf(0, 1, 5)) {
            val decoded = run(decodeEngine, decode(content, bound = 6, ticket = null, fromIndex))
            assertEquals((fromIndex..5).toList(), decoded.tokens.map { it.index })
            assertEquals(tokens("go on", fromIndex..5), decoded.tokens.map { it.text })
            assertEquals(UpstreamReport.Finished(6, "length"), decoded.finalReport)
        }
    }

    @Test
    fun cancelEndsTheCallAndFreesTheEngine() {
        for (tokensSeen in 0..2) {
            val call = start(decodeEngine, decode(generation(GenerationApi.TEXT, "long"), bound = 1000))
            repeat(tokensSeen) { assertIs<UpstreamReport.Token>(call.nextReport()) }
            awaitTrue("the cancel is confirmed after $tokensSeen tokens") { cancel(call.attempt, decodeEngine) }
            assertEquals(emptyList(), running(decodeEngine))
            val finalReport = assertIs<UpstreamReport.Failed>(call.awaitLast())
            assertEquals(FaultCause.CANCELLED, finalReport.fault.cause)
            assertTrue(cancel(call.attempt, decodeEngine), "a repeated cancel is confirmed")
        }
    }

    @Test
    fun cancelOfACompletedCallIsConfirmedWithoutAskingTheEngine() {
        val finished = start(decodeEngine, decode(generation(GenerationApi.TEXT, "short"), bound = 1))
        finished.awaitLast()
        assertTrue(cancel(finished.attempt, decodeEngine))
        val answered = start(service, plain("GET", "/lookup", key = null))
        answered.awaitLast()
        assertTrue(cancel(answered.attempt, service))
    }

    @Test
    fun runningCallsAreListedAndCancelledByName() {
        val calls = List(2) { start(decodeEngine, decode(generation(GenerationApi.TEXT, "run"), bound = 1000)) }
        calls.forEach { it.nextReport() }
        val names = calls.map { it.attempt.toString() }
        assertEquals(names.toSet(), running(decodeEngine)?.toSet())
        assertTrue(awaitCallback { gateway.cancelByName(names[0], decodeEngine, it) })
        assertEquals(listOf(names[1]), running(decodeEngine))
        assertTrue(awaitCallback { gateway.cancelByName("never-seen", decodeEngine, it) }, "it never ran")
        assertTrue(cancel(calls[1].attempt, decodeEngine))
        calls.forEach { assertIs<UpstreamReport.Failed>(it.awaitLast()) }
    }

    @Test
    fun plainCallSendsItsKeyAndIsExecutedOnce() {
        for (method in listOf("POST", "PUT", "DELETE")) {
            val key = IdempotencyKey("key-$method")
            val answered =
                assertIs<UpstreamReport.Answered>(run(service, plain(method, "/seats/7?day=2", key)).finalReport)
            assertEquals(200, answered.answer.status)
            assertEquals("application/json", answered.answer.contentType)
            assertTrue("key-$method" in answered.answer.body, answered.answer.body)
            assertEquals(1, executions(key))
        }
    }

    @Test
    fun orderWithOutdatedFencingNumberIsRefused() {
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
        val refused = run(decodeEngine, decode(generation(GenerationApi.TEXT, "p"), bound = 1)).finalReport
        assertEquals(Execution.NOT_RUN, assertIs<UpstreamReport.Failed>(refused).execution, "its role changed")
    }

    @Test
    fun plainCallWithOutdatedFencingNumberIsNotRun() {
        val key = IdempotencyKey("fenced")
        assertIs<UpstreamReport.Answered>(
            run(service, plain("POST", "/a", IdempotencyKey("new"), fencing = 9)).finalReport,
        )
        val failed = assertIs<UpstreamReport.Failed>(run(service, plain("POST", "/a", key, fencing = 8)).finalReport)
        assertEquals(FaultCause.FENCED, failed.fault.cause)
        assertEquals(Execution.NOT_RUN, failed.execution)
        assertEquals(0, executions(key))
    }

    @Test
    fun callToUnreachableUpstreamIsReportedAsNotRun() {
        val dead = upstream("dead", FaultyPeer.unusedAddress())
        val content = generation(GenerationApi.TEXT, "p")
        val calls = listOf(
            UpstreamCall.Prefill(content, 0),
            decode(content, bound = 1),
            plain("POST", "/a", IdempotencyKey("k")),
            plain("GET", "/a", key = null),
        )
        for (call in calls) {
            val failed = assertIs<UpstreamReport.Failed>(run(dead, call).finalReport, "$call")
            assertEquals(Execution.NOT_RUN, failed.execution, "$call")
            assertEquals("dead", failed.fault.peer, "$call")
        }
        assertNull(running(dead))
        assertTrue(!awaitCallback<Boolean> { gateway.cancelByName("x", dead, it) }, "nothing was confirmed")
        assertNotNull(order(dead, UpstreamOrder.ChangeRole(PoolRole.DECODE), fencing = 1))
    }

    protected fun run(upstream: ReleaseEntry.Upstream, call: UpstreamCall): CompletedCall {
        val started = start(upstream, call)
        val finalReport = started.awaitLast()
        return CompletedCall(started.tokensSeen, finalReport)
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

    protected fun generation(api: GenerationApi, prompt: String) = RequestContent.Generation(
        path = api.path,
        body = when (api) {
            GenerationApi.TEXT -> """{"prompt":"$prompt","max_tokens":3,"temperature":0.5}"""
            GenerationApi.CHAT -> """{"messages":[{"role":"user","content":"$prompt"}],"max_completion_tokens":9}"""
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

    protected data class CompletedCall(val tokens: List<UpstreamReport.Token>, val finalReport: UpstreamReport)

    /** A started call and its reports. */
    protected class ReportedCall(val attempt: AttemptId) {
        val reports = LinkedBlockingQueue<UpstreamReport>()
        val tokensSeen = ArrayList<UpstreamReport.Token>()

        fun nextReport(): UpstreamReport = assertNotNull(reports.poll(20, TimeUnit.SECONDS), "no report arrived")

        fun awaitLast(): UpstreamReport {
            while (true) {
                val report = nextReport()
                if (report !is UpstreamReport.Token) return report
                tokensSeen.add(report)
            }
        }
    }

    private data class OrderRow(val order: UpstreamOrder, val fencing: Long, val cause: FaultCause?)
}
