package org.lovageladder.http

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.lovageladder.core.Address
import org.lovageladder.core.AttemptId
import org.lovageladder.core.ExchangeId
import org.lovageladder.core.Execution
import org.lovageladder.core.HostName
import org.lovageladder.core.Outcome
import org.lovageladder.core.PoolName
import org.lovageladder.core.RefusalReason
import org.lovageladder.core.ReleaseEntry
import org.lovageladder.core.RequestContent
import org.lovageladder.core.RequestId
import org.lovageladder.core.Submission
import org.lovageladder.core.UpstreamCall
import org.lovageladder.core.UpstreamGateway
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.UpstreamReport
import org.lovageladder.standin.EngineSettings
import org.lovageladder.standin.EngineStandIn
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class ManyStreamsTest {
    @Test
    fun thousandConcurrentStreamsAreCompleteAndNotMixedUp() {
        val settings = EngineSettings(
            pieces = STREAMS,
            maximumRunning = STREAMS,
            prefillTokensPerSecond = 1_000_000,
            baseTokenGap = 20.milliseconds,
            tokenGapPerRunning = Duration.ZERO,
        )
        EngineStandIn.start(settings = settings).use { engine ->
            openHttpUpstreamGateway().use { gateway ->
                ForwardingServer(gateway, upstream(Address("127.0.0.1", engine.port))).use { entry ->
                    val texts = streamAll(gateway, upstream(entry.address))
                    assertEquals(STREAMS, texts.map { it.substringAfter('-').take(6) }.toSet().size, "unique marks")
                    texts.forEach { assertTokens(it) }
                }
            }
        }
    }

    private fun streamAll(gateway: UpstreamGateway, entry: ReleaseEntry.Upstream): List<String> {
        val endedStreams = CountDownLatch(STREAMS)
        val texts = List(STREAMS) { StringBuffer() }
        texts.forEachIndexed { number, text ->
            val call = UpstreamCall.Decode(
                generation("prompt $number"),
                TOKENS,
                priority = 0,
                ticket = null,
                fromIndex = 0,
            )
            gateway.start(AttemptId(RequestId("caller"), number), entry, call) { report ->
                if (report is UpstreamReport.Token) {
                    text.append(report.text)
                } else {
                    if (report != UpstreamReport.Finished(TOKENS, "length")) text.append(report)
                    endedStreams.countDown()
                }
            }
        }
        assertTrue(endedStreams.await(60, TimeUnit.SECONDS), "${endedStreams.count} streams did not end")
        return texts.map { it.toString() }
    }

    private fun assertTokens(text: String) {
        val mark = text.substringAfter('-').substringBefore(' ')
        assertEquals((0 until TOKENS).joinToString("") { "w$it-$mark " }, text)
    }

    private fun generation(prompt: String) =
        RequestContent.Generation("/v1/completions", """{"model":"m","prompt":"$prompt"}""", 2, TOKENS, 0)

    private fun upstream(address: Address) =
        ReleaseEntry.Upstream(UpstreamName("engine"), PoolName("pool"), HostName("host"), address)

    private companion object {
        const val STREAMS = 1000
        const val TOKENS = 20
    }
}

/** Caller server that forwards each generation to one engine. */
private class ForwardingServer(private val gateway: UpstreamGateway, private val engine: ReleaseEntry.Upstream) :
    CallerHandler,
    AutoCloseable {
    private val server = startCallerServer(Address("127.0.0.1", 0), HttpLimits(), this, SimpleMeterRegistry())
    val address: Address = server.address

    override fun onSubmission(exchange: ExchangeId, submission: Submission) {
        val content = submission.content as RequestContent.Generation
        val request = RequestId("entry-${exchange.number}")
        val bound = content.outputTokens ?: 1
        val call = UpstreamCall.Decode(content, bound, priority = 0, ticket = null, fromIndex = 0)
        gateway.start(AttemptId(request, 1), engine, call) { report ->
            when (report) {
                is UpstreamReport.Token -> server.sendToken(exchange, report.index, report.text)
                is UpstreamReport.Finished ->
                    server.sendOutcome(exchange, request, Outcome.Generated(report.finishReason, 2, report.tokens))
                else -> server.sendOutcome(exchange, request, refusal(report))
            }
        }
    }

    override fun onCallerDisconnected(exchange: ExchangeId) {
        error("caller of $exchange left")
    }

    override fun close(): Unit = server.close()

    private fun refusal(report: UpstreamReport) =
        Outcome.Refused(RefusalReason.UPSTREAM_FAILED, Execution.UNKNOWN, detail = report.toString())
}
