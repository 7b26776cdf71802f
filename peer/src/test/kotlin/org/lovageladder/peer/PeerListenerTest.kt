package org.lovageladder.peer

import org.lovageladder.core.Address
import org.lovageladder.core.Envelope
import org.lovageladder.core.EventKind
import org.lovageladder.core.FaultCause
import org.lovageladder.core.HostName
import org.lovageladder.core.Incarnation
import org.lovageladder.core.PeerMessage
import java.io.DataOutputStream
import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class PeerListenerTest {
    private val settings = PeerSettings(maximumFrameBytes = 100_000, maximumFirstFrameBytes = 2_000)
    private val handler = RecordingListenerHandler()
    private val listener = startListener(settings)

    private fun startListener(settings: PeerSettings): PeerListener =
        startPeerListener(anyLoopbackPort, testHost, testIncarnation, settings, handler)

    @AfterTest
    fun closeListener() {
        listener.close()
    }

    private class InvalidFrame(
        val name: String,
        val encodedBytes: ByteArray,
        val kind: EventKind,
        val cause: FaultCause,
        val outputClosed: Boolean,
    )

    private fun rejected(name: String, encodedBytes: ByteArray, outputClosed: Boolean = false) =
        InvalidFrame(name, encodedBytes, EventKind.FRAME_REJECTED, FaultCause.PROTOCOL, outputClosed)

    private fun refused(name: String, hello: Envelope) =
        InvalidFrame(name, frame(encodeEnvelope(hello)), EventKind.PEER_REFUSED, FaultCause.REJECTED, false)

    @Test
    fun anInvalidFirstFrameClosesOnlyItsConnection() {
        val cases = listOf(
            rejected("truncated header", byteArrayOf(0, 0), outputClosed = true),
            rejected("truncated body", frame(encodeEnvelope(hello())).copyOf(20), outputClosed = true),
            rejected("length too large", lengthHeader(2_001)),
            rejected("length zero", lengthHeader(0)),
            rejected("length negative", lengthHeader(-1)),
            rejected("garbage", frame(ByteArray(64) { 0x5b })),
            rejected("empty map", frame(byteArrayOf(0xa0.toByte()))),
            rejected("nested arrays", frame(ByteArray(1_000) { 0x81.toByte() })),
            rejected("message before hello", frame(encodeEnvelope(heartbeat(1)))),
            refused("wrong protocol", hello(protocol = 99)),
            refused("wrong host", hello(host = HostName("other"))),
            refused("wrong incarnation", hello(incarnation = Incarnation(6))),
        )
        cases.forEach { case ->
            rawSocket().use { socket ->
                socket.getOutputStream().write(case.encodedBytes)
                if (case.outputClosed) socket.shutdownOutput()
                val rejected = handler.calls.nextIs<HandlerCall.Rejected>()
                assertEquals(case.kind, rejected.kind, case.name)
                assertEquals(case.cause, rejected.fault.cause, case.name)
                assertEquals(-1, socket.getInputStream().read(), case.name)
            }
        }
        rawSocket().use { socket ->
            socket.getOutputStream().write(frame(encodeEnvelope(hello(incarnation = testIncarnation))))
            handler.calls.nextIs<HandlerCall.Connected>()
        }
    }

    @Test
    fun aMissingFirstFrameClosesTheConnectionAfterTheTimeout() {
        startListener(settings.copy(firstFrameTimeout = 50.milliseconds)).use { listener ->
            rawSocket(listener.address).use { socket ->
                val rejected = handler.calls.nextIs<HandlerCall.Rejected>()
                assertEquals(FaultCause.TIMEOUT, rejected.fault.cause)
                assertEquals(-1, socket.getInputStream().read())
            }
        }
    }

    @Test
    fun anInvalidLaterFrameIsReportedAsRejectedAndLost() {
        val cases = listOf("garbage" to frame(ByteArray(9) { -1 }), "too large" to lengthHeader(100_001))
        cases.forEach { (name, encodedBytes) ->
            rawSocket().use { socket ->
                socket.getOutputStream().write(frame(encodeEnvelope(hello(process = name))) + encodedBytes)
                val connected = handler.calls.nextIs<HandlerCall.Connected>()
                assertEquals(EventKind.FRAME_REJECTED, handler.calls.nextIs<HandlerCall.Rejected>().kind, name)
                assertEquals(connected.connectionId, handler.calls.nextIs<HandlerCall.Lost>().connectionId, name)
            }
        }
    }

    @Test
    fun theNewerOfTwoConnectionsOfOneProcessReplacesTheOlder() {
        rawSocket().use { older ->
            older.getOutputStream().write(frame(encodeEnvelope(hello())))
            val olderConnection = handler.calls.nextIs<HandlerCall.Connected>()
            rawSocket().use { newer ->
                newer.getOutputStream().write(frame(encodeEnvelope(hello())))
                assertEquals(olderConnection.connectionId, handler.calls.nextIs<HandlerCall.Lost>().connectionId)
                handler.calls.nextIs<HandlerCall.Connected>()
                assertEquals(-1, older.getInputStream().read())
            }
        }
    }

    @Test
    fun anOlderConnectionWhoseHelloArrivesLastIsClosed() {
        rawSocket().use { older ->
            rawSocket().use { newer ->
                newer.getOutputStream().write(frame(encodeEnvelope(hello())))
                val newerConnection = handler.calls.nextIs<HandlerCall.Connected>()
                older.getOutputStream().write(frame(encodeEnvelope(hello())))
                assertEquals(-1, older.getInputStream().read())
                newer.getOutputStream().write(frame(encodeEnvelope(heartbeat(5))))
                assertEquals(
                    HandlerCall.Received(newerConnection.connectionId, PeerMessage.Heartbeat(5)),
                    handler.calls.next(),
                )
            }
        }
    }

    @Test
    fun aPeerThatDoesNotReadIsDisconnected() {
        startListener(settings.copy(maximumQueuedMessages = 100)).use { listener ->
            rawSocket(listener.address).use { socket ->
                socket.getOutputStream().write(frame(encodeEnvelope(hello())))
                val connected = handler.calls.nextIs<HandlerCall.Connected>()
                val largeMessage = envelopeOf(PeerMessage.TokenProduced(attemptId(1), 0, "x".repeat(90_000)))
                var lost: HandlerCall? = null
                while (lost == null) {
                    listener.send(connected.connectionId, largeMessage)
                    lost = handler.calls.queue.poll()
                }
                assertEquals(FaultCause.TIMEOUT, (lost as HandlerCall.Lost).fault.cause)
            }
        }
    }

    @Test
    fun messagesQueuedBeforeACloseStillArrive() {
        rawSocket().use { socket ->
            socket.getOutputStream().write(frame(encodeEnvelope(hello())))
            val connected = handler.calls.nextIs<HandlerCall.Connected>()
            val body = encodeEnvelope(heartbeat(1))
            repeat(1_000) { listener.send(connected.connectionId, heartbeat(1)) }
            listener.close(connected.connectionId)
            assertEquals(1_000 * (4 + body.size), socket.getInputStream().readAllBytes().size)
            assertEquals(null, handler.calls.queue.poll())
        }
    }

    private fun rawSocket(address: Address = listener.address): Socket =
        Socket(address.ip, address.port).apply { soTimeout = 20_000 }

    private fun lengthHeader(length: Int): ByteArray = encodedBytes { writeInt(length) }

    private fun frame(body: ByteArray): ByteArray = encodedBytes {
        writeInt(body.size)
        write(body)
    }

    private fun encodedBytes(write: DataOutputStream.() -> Unit): ByteArray {
        val buffer = java.io.ByteArrayOutputStream()
        DataOutputStream(buffer).write()
        return buffer.toByteArray()
    }
}
