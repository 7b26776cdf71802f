package org.lovageladder.peer

import org.lovageladder.core.Address
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
    private val settings = PeerSettings(frameLimitBytes = 100_000, firstFrameLimitBytes = 2_000)
    private val handler = RecordingListenerHandler()
    private val listener = start(settings)

    private fun start(settings: PeerSettings): PeerListener =
        startPeerListener(anyPort, testHost, testIncarnation, settings, handler)

    @AfterTest
    fun closeListener() {
        listener.close()
    }

    private class BadFirst(
        val name: String,
        val bytes: ByteArray,
        val kind: EventKind,
        val cause: FaultCause,
        val closes: Boolean = false,
    )

    @Test
    fun badFirstFramesCloseOnlyTheirConnection() {
        val cases =
            listOf(
                BadFirst("truncated header", byteArrayOf(0, 0), FRAME, FaultCause.PROTOCOL, closes = true),
                BadFirst("truncated body", frame(encodeEnvelope(hello())).copyOf(20), FRAME, FaultCause.PROTOCOL, true),
                BadFirst("length too large", header(2_001), FRAME, FaultCause.PROTOCOL),
                BadFirst("length zero", header(0), FRAME, FaultCause.PROTOCOL),
                BadFirst("length negative", header(-1), FRAME, FaultCause.PROTOCOL),
                BadFirst("garbage", frame(ByteArray(64) { 0x5b }), FRAME, FaultCause.PROTOCOL),
                BadFirst("empty map", frame(byteArrayOf(0xa0.toByte())), FRAME, FaultCause.PROTOCOL),
                BadFirst("nested arrays", frame(ByteArray(1_000) { 0x81.toByte() }), FRAME, FaultCause.PROTOCOL),
                BadFirst("message before hello", frame(encodeEnvelope(heartbeat(1))), FRAME, FaultCause.PROTOCOL),
                BadFirst("wrong protocol", frame(encodeEnvelope(hello(protocol = 99))), REFUSED, FaultCause.REJECTED),
                BadFirst(
                    "wrong host",
                    frame(encodeEnvelope(hello(host = HostName("other")))),
                    REFUSED,
                    FaultCause.REJECTED,
                ),
                BadFirst(
                    "wrong incarnation",
                    frame(encodeEnvelope(hello(incarnation = Incarnation(6)))),
                    REFUSED,
                    FaultCause.REJECTED,
                ),
            )
        cases.forEach { case ->
            rawSocket().use { socket ->
                socket.getOutputStream().write(case.bytes)
                if (case.closes) socket.shutdownOutput()
                val rejected = handler.log.nextIs<Seen.Rejected>()
                assertEquals(case.kind, rejected.kind, case.name)
                assertEquals(case.cause, rejected.fault.cause, case.name)
                assertEquals(-1, socket.getInputStream().read(), case.name)
            }
        }
        rawSocket().use { socket ->
            socket.getOutputStream().write(frame(encodeEnvelope(hello(incarnation = testIncarnation))))
            handler.log.nextIs<Seen.Connected>()
        }
    }

    @Test
    fun aLateFirstFrameClosesTheConnection() {
        start(settings.copy(firstFrameTimeout = 50.milliseconds)).use { listener ->
            rawSocket(listener.address).use { socket ->
                val rejected = handler.log.nextIs<Seen.Rejected>()
                assertEquals(FaultCause.TIMEOUT, rejected.fault.cause)
                assertEquals(-1, socket.getInputStream().read())
            }
        }
    }

    @Test
    fun aBadFrameLaterOnIsReportedAsRejectedAndLost() {
        val cases = listOf("garbage" to frame(ByteArray(9) { -1 }), "too large" to header(100_001))
        cases.forEach { (name, bytes) ->
            rawSocket().use { socket ->
                socket.getOutputStream().write(frame(encodeEnvelope(hello(process = name))) + bytes)
                val connected = handler.log.nextIs<Seen.Connected>()
                assertEquals(EventKind.FRAME_REJECTED, handler.log.nextIs<Seen.Rejected>().kind, name)
                assertEquals(connected.connection, handler.log.nextIs<Seen.Lost>().connection, name)
            }
        }
    }

    @Test
    fun theNewerOfTwoConnectionsOfOneProcessReplacesTheOlder() {
        rawSocket().use { older ->
            older.getOutputStream().write(frame(encodeEnvelope(hello())))
            val first = handler.log.nextIs<Seen.Connected>()
            rawSocket().use { newer ->
                newer.getOutputStream().write(frame(encodeEnvelope(hello())))
                assertEquals(first.connection, handler.log.nextIs<Seen.Lost>().connection)
                handler.log.nextIs<Seen.Connected>()
                assertEquals(-1, older.getInputStream().read())
            }
        }
    }

    @Test
    fun anOlderConnectionWhoseHelloComesLateGivesWayToTheNewer() {
        rawSocket().use { older ->
            rawSocket().use { newer ->
                newer.getOutputStream().write(frame(encodeEnvelope(hello())))
                val kept = handler.log.nextIs<Seen.Connected>()
                older.getOutputStream().write(frame(encodeEnvelope(hello())))
                assertEquals(-1, older.getInputStream().read())
                newer.getOutputStream().write(frame(encodeEnvelope(heartbeat(5))))
                assertEquals(Seen.Received(kept.connection, PeerMessage.Heartbeat(5)), handler.log.next())
            }
        }
    }

    @Test
    fun aPeerThatDoesNotReadIsDisconnected() {
        start(settings.copy(outgoingLimit = 100)).use { listener ->
            rawSocket(listener.address).use { socket ->
                socket.getOutputStream().write(frame(encodeEnvelope(hello())))
                val connected = handler.log.nextIs<Seen.Connected>()
                val large = enveloped(PeerMessage.TokenProduced(attempt(1), 0, "x".repeat(90_000)))
                var lost: Seen? = null
                while (lost == null) {
                    listener.send(connected.connection, large)
                    lost = handler.log.queue.poll()
                }
                assertEquals(FaultCause.TIMEOUT, (lost as Seen.Lost).fault.cause)
            }
        }
    }

    @Test
    fun whatWasSentBeforeACloseStillArrives() {
        rawSocket().use { socket ->
            socket.getOutputStream().write(frame(encodeEnvelope(hello())))
            val connected = handler.log.nextIs<Seen.Connected>()
            val body = encodeEnvelope(heartbeat(1))
            repeat(1_000) { listener.send(connected.connection, heartbeat(1)) }
            listener.close(connected.connection)
            assertEquals(1_000 * (4 + body.size), socket.getInputStream().readAllBytes().size)
            assertEquals(null, handler.log.queue.poll())
        }
    }

    private fun rawSocket(address: Address = listener.address): Socket =
        Socket(address.ip, address.port).apply { soTimeout = 20_000 }

    private fun header(length: Int): ByteArray = bytes { writeInt(length) }

    private fun frame(body: ByteArray): ByteArray = bytes {
        writeInt(body.size)
        write(body)
    }

    private fun bytes(write: DataOutputStream.() -> Unit): ByteArray {
        val buffer = java.io.ByteArrayOutputStream()
        DataOutputStream(buffer).write()
        return buffer.toByteArray()
    }

    private companion object {
        val FRAME = EventKind.FRAME_REJECTED
        val REFUSED = EventKind.PEER_REFUSED
    }
}
