package org.lovageladder.http

import org.lovageladder.core.Address
import java.io.BufferedInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** How a [FaultyPeer] treats requests. */
internal sealed interface PeerBehaviour {
    /** Reads a request, sends [bytes] and closes the connection. */
    data class Send(val bytes: String) : PeerBehaviour

    /** Sends [bytes] for the first request of a connection, and closes the connection after reading a second one. */
    data class SendForFirstRequest(val bytes: String) : PeerBehaviour

    /** Sends [bytes] for requests to [path]; does not answer others. */
    data class SendTo(val path: String, val bytes: String) : PeerBehaviour

    /** Sends [head], then repeats [part] until the client closes the connection. */
    data class SendEndlessly(val head: String, val part: String) : PeerBehaviour

    /** Reads requests and never answers. */
    data object NeverAnswer : PeerBehaviour

    /** Closes each connection as soon as it is accepted. */
    data object CloseOnAccept : PeerBehaviour
}

/** Server with a configurable fault, which records the requests it receives. */
internal class FaultyPeer(private val behaviour: PeerBehaviour) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val firstRequestRead = CountDownLatch(1)
    private val acceptor = thread(isDaemon = true) { acceptAll() }
    private val sentBytes = AtomicLong()
    private val ended = AtomicInteger()
    val requests = CopyOnWriteArrayList<String>()

    /** Bytes of endless answers written so far. */
    val bytesSent: Long get() = sentBytes.get()
    val address = Address("127.0.0.1", listener.localPort)

    /** Connections accepted so far. */
    val connections: Int get() = sockets.size

    /** Connections that have ended, whose requests are all among [requests]. */
    val endedConnections: Int get() = ended.get()

    /** Waits until a request has been read. */
    fun awaitRequest() {
        check(firstRequestRead.await(10, TimeUnit.SECONDS)) { "no request arrived" }
    }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
        acceptor.join()
    }

    private fun acceptAll() {
        try {
            while (true) {
                val socket = listener.accept()
                sockets.add(socket)
                thread(isDaemon = true) { serve(socket) }
            }
        } catch (_: IOException) {
            return
        }
    }

    private fun serve(socket: Socket) {
        try {
            if (behaviour == PeerBehaviour.CloseOnAccept) return socket.close()
            val input = BufferedInputStream(socket.getInputStream())
            var servedRequests = 0
            while (true) {
                val request = readRequest(input) ?: return socket.close()
                requests.add(request)
                firstRequestRead.countDown()
                if (!answer(socket, request, servedRequests++)) return socket.close()
            }
        } catch (_: IOException) {
            socket.close()
        } finally {
            ended.incrementAndGet()
        }
    }

    /** Answers [request]; returns whether the connection stays open. */
    private fun answer(socket: Socket, request: String, servedBefore: Int): Boolean = when (behaviour) {
        PeerBehaviour.CloseOnAccept -> false
        PeerBehaviour.NeverAnswer -> true
        is PeerBehaviour.SendEndlessly -> sendEndlessly(socket, behaviour)
        is PeerBehaviour.Send -> {
            socket.getOutputStream().write(behaviour.bytes.toByteArray())
            false
        }
        is PeerBehaviour.SendTo -> {
            if (behaviour.path in request) socket.getOutputStream().write(behaviour.bytes.toByteArray())
            true
        }
        is PeerBehaviour.SendForFirstRequest -> {
            if (servedBefore == 0) socket.getOutputStream().write(behaviour.bytes.toByteArray())
            servedBefore == 0
        }
    }

    private fun sendEndlessly(socket: Socket, behaviour: PeerBehaviour.SendEndlessly): Boolean {
        val output = socket.getOutputStream()
        output.write(behaviour.head.toByteArray())
        val part = behaviour.part.repeat(ENDLESS_PART_REPEATS).toByteArray()
        while (true) {
            output.write(part)
            sentBytes.addAndGet(part.size.toLong())
        }
    }

    private fun readRequest(input: BufferedInputStream): String? {
        val head = ByteArrayOutputStream()
        while (!head.toString().endsWith("\r\n\r\n")) {
            val next = input.read()
            if (next < 0) return null
            head.write(next)
        }
        val length = Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE).find(head.toString())
        val body = input.readNBytes(length?.groupValues?.get(1)?.toInt() ?: 0)
        return head.toString() + String(body)
    }

    companion object {
        private const val BACKLOG = 50
        private const val ENDLESS_PART_REPEATS = 1_000

        /** An HTTP answer with a correct content length. */
        fun answer(status: Int, body: String, vararg headers: String): String {
            val lines = headers.joinToString("") { "$it\r\n" }
            return "HTTP/1.1 $status X\r\n${lines}Content-Length: ${body.toByteArray().size}\r\n\r\n$body"
        }

        /** An answer that announces more content than it has. */
        fun truncatedAnswer(body: String): String = "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n$body"

        /** A loopback address on which nothing listens. */
        fun unusedAddress(): Address {
            val port = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { it.localPort }
            return Address("127.0.0.1", port)
        }
    }
}
