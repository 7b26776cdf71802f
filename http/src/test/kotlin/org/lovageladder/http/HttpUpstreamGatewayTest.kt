package org.lovageladder.http

import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.lovageladder.core.Address
import org.lovageladder.core.Execution
import org.lovageladder.core.FaultCause
import org.lovageladder.core.IdempotencyKey
import org.lovageladder.core.ModelName
import org.lovageladder.core.UpstreamCall
import org.lovageladder.core.UpstreamGateway
import org.lovageladder.core.UpstreamReport
import org.lovageladder.standin.EngineRole
import org.lovageladder.standin.EngineSettings
import org.lovageladder.standin.EngineStandIn
import org.lovageladder.standin.PlainStandIn
import java.security.MessageDigest
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

internal class HttpUpstreamGatewayTest : UpstreamGatewayContract() {
    private val prefill = EngineStandIn.start(settings = EngineSettings(role = EngineRole.PREFILL, name = "prefill"))
    private val decode = EngineStandIn.start(
        settings = EngineSettings(role = EngineRole.DECODE, name = "decode", baseTokenGap = 5.milliseconds),
    )
    private val plain = PlainStandIn.start()
    override val gateway: UpstreamGateway = openHttpUpstreamGateway()
    override val prefillEngine = upstream("prefill-1", loopback(prefill.port))
    override val decodeEngine = upstream("decode-1", loopback(decode.port))
    override val service = upstream("desk-1", loopback(plain.port))

    @AfterTest
    fun stop() {
        gateway.close()
        listOf(prefill, decode, plain).forEach { it.close() }
    }

    override fun executions(key: IdempotencyKey): Int {
        val executions = get(service.address, "/executions").json().getValue("executions").jsonObject
        return executions[key.text]?.jsonPrimitive?.content?.toInt() ?: 0
    }

    override fun tokens(prompt: String, range: IntRange): List<String> {
        val digest = MessageDigest.getInstance("SHA-256").digest(prompt.toByteArray())
        val mark = digest.take(3).joinToString("") { "%02x".format(it) }
        return range.map { "w$it-$mark " }
    }

    @Test
    fun refusalByEngineIsReportedAsNotRun() {
        val small = EngineStandIn.start(settings = EngineSettings(pieces = 1, name = "small"))
        val expiring = EngineStandIn.start(settings = EngineSettings(keepTime = 1.milliseconds, name = "expiring"))
        val content = generation(GenerationApi.TEXT, "p")
        val ready = run(upstream("expiring", loopback(expiring.port)), UpstreamCall.Prefill(content, 0)).finalReport
        val ticket = assertIs<UpstreamReport.PrefillReady>(ready).ticket
        awaitTrue("the prefill result expires") {
            get(loopback(expiring.port), "/stats").json().getValue("prefills_expired").jsonPrimitive.content == "1"
        }
        val rows = listOf(
            NotRunRow(run(upstream("small", loopback(small.port)), decode(content, 9000)), FaultCause.OUT_OF_MEMORY),
            NotRunRow(run(prefillEngine, decode(content, 2)), FaultCause.REJECTED),
            NotRunRow(run(decodeEngine, decode(content, 2, ticket)), FaultCause.EXPIRED),
            NotRunRow(run(decodeEngine, decode(content.copy(body = "no JSON"), 2)), FaultCause.PROTOCOL),
            NotRunRow(run(decodeEngine, decode(content.copy(body = "{}"), 2)), FaultCause.REJECTED),
            NotRunRow(run(service, plain("NOT A METHOD", "/a", IdempotencyKey("k"))), FaultCause.PROTOCOL),
            NotRunRow(run(service, plain("POST", "/a b\r\n", IdempotencyKey("k"))), FaultCause.PROTOCOL),
            NotRunRow(run(service, plain("POST", "/a", IdempotencyKey("k\r\nx"))), FaultCause.PROTOCOL),
        )
        for (row in rows) {
            val failed = assertIs<UpstreamReport.Failed>(row.ended.finalReport, "$row")
            assertEquals(row.cause, failed.fault.cause, "$row")
            assertEquals(Execution.NOT_RUN, failed.execution, "$row")
            assertEquals(emptyList(), row.ended.tokens, "$row")
        }
        listOf(small, expiring).forEach { it.close() }
    }

    @Test
    fun crashDuringDecodeIsReportedAsUnknown() {
        val call = start(decodeEngine, decode(generation(GenerationApi.TEXT, "p"), bound = 1000))
        assertIs<UpstreamReport.Token>(call.nextReport())
        postJson(decodeEngine.address, "/fault", """{"crash":true}""")
        val failed = assertIs<UpstreamReport.Failed>(call.awaitLast())
        assertEquals(FaultCause.CONNECTION_LOST, failed.fault.cause)
        assertEquals(Execution.UNKNOWN, failed.execution)
        assertTrue(!cancel(call.attempt, decodeEngine), "a crashed engine cannot confirm")
    }

    @Test
    fun lostPlainAnswerIsReportedAsUnknownAndNotRetried() {
        val key = IdempotencyKey("lost")
        run(service, plain("GET", "/warm", key = null))
        postJson(service.address, "/fault", """{"drop_answers":1}""")
        val failed = assertIs<UpstreamReport.Failed>(run(service, plain("POST", "/a", key)).finalReport)
        assertEquals(FaultCause.CONNECTION_LOST, failed.fault.cause)
        assertEquals(Execution.UNKNOWN, failed.execution)
        assertEquals(1, executions(key))
    }

    @Test
    fun peerFaultsAreMappedToExecution() {
        val token = """data: {"choices":[{"text":"a","finish_reason":null}]}"""
        val rows = listOf(
            PeerFaultRow(PeerBehaviour.CloseOnAccept, Execution.UNKNOWN, Execution.UNKNOWN),
            PeerFaultRow(send(FaultyPeer.truncatedAnswer("{}")), Execution.UNKNOWN, Execution.UNKNOWN),
            PeerFaultRow(send("nonsense\r\n\r\n"), Execution.UNKNOWN, Execution.UNKNOWN),
            PeerFaultRow(send(FaultyPeer.answer(400, "{}")), Execution.NOT_RUN, null),
            PeerFaultRow(send(FaultyPeer.answer(404, "")), Execution.NOT_RUN, null),
            PeerFaultRow(send(FaultyPeer.answer(409, """{"error":{"type":"seat_taken"}}""")), Execution.NOT_RUN, null),
            PeerFaultRow(
                send(FaultyPeer.answer(409, """{"error":{"type":"outdated_fencing_number"}}""")),
                Execution.NOT_RUN,
                Execution.NOT_RUN,
            ),
            PeerFaultRow(send(FaultyPeer.answer(410, "{}")), Execution.NOT_RUN, null),
            PeerFaultRow(send(FaultyPeer.answer(500, "{}")), Execution.UNKNOWN, null),
            PeerFaultRow(send(FaultyPeer.answer(502, "{}")), Execution.UNKNOWN, Execution.UNKNOWN),
            PeerFaultRow(send(FaultyPeer.answer(503, "{}")), Execution.NOT_RUN, Execution.UNKNOWN),
            PeerFaultRow(
                send(FaultyPeer.answer(503, "", "X-Not-Executed: true")),
                Execution.NOT_RUN,
                Execution.NOT_RUN,
            ),
            PeerFaultRow(send(FaultyPeer.answer(504, "{}")), Execution.UNKNOWN, Execution.UNKNOWN),
            PeerFaultRow(send(FaultyPeer.answer(200, "")), Execution.UNKNOWN, null),
            PeerFaultRow(send(FaultyPeer.answer(200, "$token\n\n")), Execution.UNKNOWN, null),
            PeerFaultRow(send(FaultyPeer.answer(200, "$token\n\ndata: [DONE]\n\n")), Execution.UNKNOWN, null),
            PeerFaultRow(send(FaultyPeer.answer(200, "data: nonsense\n\n")), Execution.UNKNOWN, null),
            PeerFaultRow(
                send(FaultyPeer.answer(200, """data: {"error":{"message":"x"}}""" + "\n\n")),
                Execution.UNKNOWN,
                null,
            ),
        )
        for (row in rows) {
            FaultyPeer(row.behaviour).use { peer ->
                val faulty = upstream("faulty", peer.address)
                val decoded = run(faulty, decode(generation(GenerationApi.TEXT, "p"), 2)).finalReport
                assertEquals(row.decode, assertIs<UpstreamReport.Failed>(decoded, "$row").execution, "$row: $decoded")
                val called = run(faulty, plain("POST", "/a", IdempotencyKey("k"))).finalReport
                assertEquals(row.plain, (called as? UpstreamReport.Failed)?.execution, "$row: $called")
                assertTrue(peer.requests.size <= 2, "each call was sent once: ${peer.requests}")
            }
        }
    }

    @Test
    fun callWithIdempotencyKeyUsesANewConnection() {
        FaultyPeer(PeerBehaviour.SendForFirstRequest(FaultyPeer.answer(200, "ok"))).use { peer ->
            val closing = upstream("closing", peer.address)
            val lookup = plain("GET", "/lookup", key = null)
            val action = plain("POST", "/action", IdempotencyKey("k"))
            assertIs<UpstreamReport.Answered>(run(closing, lookup).finalReport)
            assertIs<UpstreamReport.Answered>(run(closing, action).finalReport, "the keyed call has its own connection")
            val pooled = assertIs<UpstreamReport.Failed>(run(closing, lookup).finalReport, "the peer closed it")
            assertEquals(Execution.UNKNOWN, pooled.execution)
            assertEquals(1, peer.requests.count { it.startsWith("POST") })
            assertEquals(2, peer.requests.count { it.startsWith("GET") }, "a sent call is not sent again")
        }
    }

    @Test
    fun engineRequestReplacesRouterMembersAndKeepsTheOthers() {
        FaultyPeer(PeerBehaviour.SendTo("/v1/", FaultyPeer.answer(503, "{}"))).use { peer ->
            val recorded = upstream("recorded", peer.address)
            val content = generation(GenerationApi.CHAT, "p").copy(model = ModelName("lesson-8b"))
            run(recorded, UpstreamCall.Prefill(content, priority = 3))
            run(recorded, decode(content, bound = 7, ticket = null, fromIndex = 2))
            val (prefilled, decoded) = peer.requests.map { it.substringAfter("\r\n\r\n") }
            assertTrue(""""stream":false,"max_tokens":1,"priority":3,"kv_transfer_params":{""" in prefilled, prefilled)
            assertTrue(""""do_remote_decode":true,"do_remote_prefill":false""" in prefilled, prefilled)
            assertTrue(""""stream":true,"max_tokens":7,"priority":1,"resume_from":2}""" in decoded, decoded)
            assertTrue("max_completion_tokens" !in decoded, decoded)
            assertTrue(""""model":"lesson-8b"""" in prefilled && """"model":"lesson-8b"""" in decoded, decoded)
            assertTrue(peer.requests.all { Regex("x-request-id: request\\.\\d+").containsMatchIn(it.lowercase()) })
        }
    }

    @Test
    fun cancelOfACallThatMayBeUnreadIsNotConfirmed() {
        val unknown = FaultyPeer.answer(200, """{"cancelled":false}""")
        FaultyPeer(PeerBehaviour.SendTo("/v1/cancel", unknown)).use { peer ->
            val silent = upstream("silent", peer.address)
            val call = start(silent, decode(generation(GenerationApi.TEXT, "p"), 2))
            peer.awaitRequest()
            assertTrue(!cancel(call.attempt, silent))
        }
    }

    private fun send(bytes: String) = PeerBehaviour.Send(bytes)

    private fun loopback(port: Int) = Address("127.0.0.1", port)

    private data class NotRunRow(val ended: CompletedCall, val cause: FaultCause)

    /** [plain] is null when the answer is passed on to the caller. */
    private data class PeerFaultRow(val behaviour: PeerBehaviour, val decode: Execution, val plain: Execution?)
}
