package org.lovageladder.standin

import java.net.InetAddress
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals

class HttpServerTest {
    @Test
    fun wrongHeadsAreRefusedAndRequestsAnsweredInTheirOrder() {
        val rows =
            listOf(
                HeadRow("nonsense\r\n\r\n", listOf("HTTP/1.1 400 Bad Request")),
                HeadRow(
                    "GET /nowhere HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                    listOf("HTTP/1.1 404 Not Found"),
                ),
                HeadRow(
                    "POST /v1/hosts HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 999999999\r\n\r\n",
                    listOf("HTTP/1.1 413 Request Entity Too Large"),
                ),
                HeadRow(
                    "GET /weights/a?bytes=10 HTTP/1.1\r\nHost: x\r\n\r\n" +
                        "GET /nowhere HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                    listOf("HTTP/1.1 200 OK", "HTTP/1.1 404 Not Found"),
                ),
            )
        WeightStoreStandIn.start(settings = WeightStoreSettings(bytesPerSecond = 100)).use { store ->
            for (row in rows) {
                assertEquals(row.statusLines, send(store.port, row.head), row.head)
            }
        }
    }

    private fun send(port: Int, head: String): List<String> =
        Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
            socket.soTimeout = LIMIT_MILLISECONDS
            socket.getOutputStream().write(head.toByteArray())
            val answer = socket.getInputStream().readBytes().decodeToString()
            Regex("HTTP/1.1 [^\r]*").findAll(answer).map { it.value }.toList()
        }

    private data class HeadRow(val head: String, val statusLines: List<String>)

    private companion object {
        const val LIMIT_MILLISECONDS = 20_000
    }
}
