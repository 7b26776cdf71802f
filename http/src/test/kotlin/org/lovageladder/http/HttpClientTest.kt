package org.lovageladder.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import org.lovageladder.core.Address
import org.lovageladder.core.FaultCause
import org.lovageladder.core.forward.CallPlace
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class HttpClientTest {
    private val threads = HttpThreads(1)
    private val client = HttpClient(threads)

    @AfterTest
    fun close() {
        client.close()
        threads.close()
    }

    /** A head that is not whole would wait in the decoder, and the next call of the connection would meet it. */
    @Test
    fun whatAPeerWritesWithoutACallIsReportedOnceWithItsPlace() {
        mapOf(
            FaultyPeer.answer(503, "late", "Id: 6") to "503 6",
            FaultyPeer.answer(200, "late").repeat(2) to "200 null",
            "HTTP/1.1 503 X\r\nI" to "null null",
            "nonsense\r\n\r\n" to "null null",
        ).forEach { (written, expected) ->
            val reported = ArrayList<UnexpectedAnswer>()
            val channel = connection(number = 3) { reported += it }
            startCall(channel, "7")
            channel.peerWrites(FaultyPeer.answer(200, "own", "Id: 7"))
            assertEquals(emptyList(), reported)
            channel.peerWrites(written)
            assertFalse(channel.isOpen, written)
            val unexpected = reported.single()
            assertEquals(expected, "${unexpected.status} ${unexpected.identifier}", written)
            assertEquals(CallPlace(connection = 3, call = 1) to 1, unexpected.lastCall to unexpected.answeredCalls)
        }
    }

    @Test
    fun callsOfAConnectionAreNumberedInTheirFailures() {
        val channel = connection(number = 3)
        startCall(channel, "7")
        channel.peerWrites(FaultyPeer.answer(200, "own", "Id: 7"))
        val results = startCall(channel, "8")
        channel.peerWrites("nonsense\r\n\r\n")
        assertEquals(CallPlace(connection = 3, call = 2), (results.single() as HttpResult.Failed).failure.place)
    }

    /**
     * Guards against answers of a faulty peer that are passed on: numbers that other programs would read otherwise, or
     * not at all. All must fail, so that the caller is told of it or another peer is asked.
     */
    @Test
    fun headWithAMalformedNumberIsNoAnswer() {
        val statuses = listOf("000", "0", "20", "099", "600", "999", "1000", "0200", "+200", "-200", "2 00", "2e2", "")
            .map { "HTTP/1.1 $it X\r\nId: 7\r\nContent-Length: 2\r\n\r\nok" }
        val versions = listOf("HTTP/2.0", "HTTP/0.9", "HTTP/1", "HTTP/1.10", "http/1.1", "XTTP/1.1", "1.1")
            .map { "$it 200 X\r\nId: 7\r\nContent-Length: 2\r\n\r\nok" }
        val lengths = listOf("+2", "-2", "0x2", "2;", "2, 3", "2.0", "99999999999999999999", "", "\u0662")
            .map { "HTTP/1.1 200 X\r\nId: 7\r\nContent-Length: $it\r\n\r\nok" }
        val chunks = listOf("+2", "-2", "0x2", "2g", "FFFFFFFFFF2", "", "\u0662")
            .map { "HTTP/1.1 200 X\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n$it\r\nok\r\n0\r\n\r\n" }
        assertNoneIsAnAnswer(statuses + versions + lengths + chunks)
    }

    /**
     * Guards against a broken body that counts as whole: with a coding that is not known, only the end of the connection
     * ends it, though its head seems to say where it ends.
     */
    @Test
    fun bodyWithAnUnknownTransferCodingIsNoAnswer() {
        val encodings = listOf("gzip", "identity", "gzip, chunked", "chunked, chunked", "xchunked", "chunked;q=1")
            .map { "HTTP/1.1 200 X\r\nId: 7\r\nTransfer-Encoding: $it\r\n\r\n2\r\nok\r\n0\r\n\r\n" }
        val unclear = listOf(
            "Content-Length: 2\r\nContent-Length: 3",
            "Content-Length: 3\r\nTransfer-Encoding: chunked",
        )
            .map { "HTTP/1.1 200 X\r\nId: 7\r\n$it\r\n\r\n2\r\nok\r\n0\r\n\r\n" }
        assertNoneIsAnAnswer(encodings + unclear)
    }

    private fun assertNoneIsAnAnswer(answers: List<String>) {
        val outcomes = answers.associateWith { written ->
            val channel = connection(number = 3)
            val results = startCall(channel, "7")
            channel.peerWrites(written)
            channel.close()
            val result = results.single()
            (result as? HttpResult.Failed)?.failure?.cause?.name ?: "passed on"
        }
        val wrong = outcomes.filterValues { it != "PROTOCOL" }
        assertEquals("", wrong.entries.joinToString("\n") { it.toString().replace("\r\n", "|") })
    }

    private fun connection(number: Long, report: (UnexpectedAnswer) -> Unit = {}): EmbeddedChannel {
        val decoder = AnswerDecoder()
        val watch = IdleWatch(number, decoder, report)
        val connection = HttpClientConnection(IdleConnections(), decoder, watch)
        return EmbeddedChannel(watch, HttpRequestEncoder(), decoder, connection)
    }

    /** Sends a call with the identifier [identifier] and returns where its result will be. */
    private fun startCall(channel: EmbeddedChannel, identifier: String): List<HttpResult> {
        val results = ArrayList<HttpResult>()
        val call = HttpCall(HttpMethod.GET, "/", recognition = AnswerRecognition.ByIdentifier(identifier) { it["Id"] })
        client.send(channel, RunningHttpCall(PEER, call, WholeAnswerReceiver { results += it }, MAXIMUM_BYTES))
        return results
    }

    private fun EmbeddedChannel.peerWrites(text: String) {
        writeInbound(Unpooled.wrappedBuffer(text.toByteArray()))
    }

    /** A peer that closes right after the accept can empty the pipeline before the connection is used. */
    @Test
    fun callOnAConnectionThatIsAlreadyClosedFailsAtOnce() {
        val results = ArrayList<HttpResult>()
        val call = HttpCall(HttpMethod.GET, "/")
        val receiver = WholeAnswerReceiver { results += it }
        val runningCall = RunningHttpCall(PEER, call, receiver, MAXIMUM_BYTES)
        val closed = EmbeddedChannel().apply { close() }
        client.send(closed, runningCall)
        val failure = (results.single() as HttpResult.Failed).failure
        assertEquals(FaultCause.CONNECTION_LOST, failure.cause)
        assertEquals(false, failure.requestSent)
    }

    private companion object {
        val PEER = Address("127.0.0.1", 1)
        const val MAXIMUM_BYTES = 1_000
    }
}
