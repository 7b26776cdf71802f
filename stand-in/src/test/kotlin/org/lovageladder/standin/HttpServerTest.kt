package org.lovageladder.standin

import java.net.InetAddress
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals

class HttpServerTest {
    @Test
    fun invalidRequestsAreRefusedAndPipelinedRequestsAnsweredInOrder() {
        val cases = listOf(
            RawRequestCase("nonsense\r\n\r\n", listOf("HTTP/1.1 400 Bad Request")),
            RawRequestCase(
                "GET /nowhere HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                listOf("HTTP/1.1 404 Not Found"),
            ),
            RawRequestCase(
                "POST /v1/hosts HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 999999999\r\n\r\n",
                listOf("HTTP/1.1 413 Request Entity Too Large"),
            ),
            RawRequestCase(
                "GET /weights/a?bytes=10 HTTP/1.1\r\nHost: x\r\n\r\n" +
                    "GET /nowhere HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                listOf("HTTP/1.1 200 OK", "HTTP/1.1 404 Not Found"),
            ),
        )
        WeightStoreStandIn.start(settings = WeightStoreSettings(bytesPerSecond = 100)).use { store ->
            for (case in cases) {
                assertEquals(case.statusLines, send(store.port, case.rawRequest), case.rawRequest)
            }
        }
    }

    private fun send(port: Int, rawRequest: String): List<String> =
        Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MILLISECONDS
            socket.getOutputStream().write(rawRequest.toByteArray())
            val answer = socket.getInputStream().readBytes().decodeToString()
            Regex("HTTP/1.1 [^\r]*").findAll(answer).map { it.value }.toList()
        }

    private data class RawRequestCase(val rawRequest: String, val statusLines: List<String>)

    private companion object {
        const val READ_TIMEOUT_MILLISECONDS = 20_000
    }
}
