package org.lovageladder.http

import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpMethod
import org.lovageladder.core.Address
import org.lovageladder.core.FaultCause
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

class HttpClientTest {
    private val threads = HttpThreads(1)
    private val client = HttpClient(threads)

    @AfterTest
    fun close() {
        client.close()
        threads.close()
    }

    /** A peer that closes right after the accept can empty the pipeline before the connection is used. */
    @Test
    fun callOnAConnectionThatIsAlreadyClosedFailsAtOnce() {
        val results = ArrayList<HttpResult>()
        val call = HttpCall(HttpMethod.GET, "/")
        val receiver = WholeAnswerReceiver { results += it }
        val runningCall = RunningHttpCall(Address("127.0.0.1", 1), call, receiver, maximumAnswerBytes = 1_000)
        val closed = EmbeddedChannel().apply { close() }
        client.send(closed, runningCall)
        val failure = (results.single() as HttpResult.Failed).failure
        assertEquals(FaultCause.CONNECTION_LOST, failure.cause)
        assertEquals(false, failure.requestSent)
    }
}
