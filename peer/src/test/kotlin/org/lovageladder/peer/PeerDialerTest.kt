package org.lovageladder.peer

import org.lovageladder.core.Address
import org.lovageladder.core.AttemptId
import org.lovageladder.core.ConnectionId
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.HostName
import org.lovageladder.core.PeerMessage
import org.lovageladder.core.RequestId
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

internal fun attempt(number: Int): AttemptId = AttemptId(RequestId("request-1"), number)

class PeerDialerTest {
    private val entry = RecordingDialerHandler()
    private val companion = RecordingListenerHandler()
    private val dialer = openPeerDialer(handler = entry)
    private val listener = startPeerListener(anyPort, testHost, testIncarnation, handler = companion)

    @AfterTest
    fun closeBoth() {
        dialer.close()
        listener.close()
    }

    private fun connect(number: Long = 1): ConnectionId {
        dialer.dial(ConnectionId(number), testHost, listener.address, hello())
        val connected = companion.log.nextIs<Seen.Connected>()
        listener.send(connected.connection, welcome())
        assertEquals(ConnectionId(number), entry.log.nextIs<Seen.Connected>().connection)
        return connected.connection
    }

    @Test
    fun tenThousandMessagesEachWayArriveInOrder() {
        val atCompanion = connect()
        val senders =
            listOf(
                Thread { repeat(MESSAGES) { index -> dialer.send(ConnectionId(1), heartbeat(index.toLong())) } },
                Thread { repeat(MESSAGES) { index -> listener.send(atCompanion, token(index)) } },
            )
        senders.forEach(Thread::start)
        repeat(MESSAGES) { index ->
            assertEquals(Seen.Received(atCompanion, PeerMessage.Heartbeat(index.toLong())), companion.log.next())
            assertEquals(Seen.Received(ConnectionId(1), token(index).message), entry.log.next())
        }
    }

    private fun token(index: Int) = enveloped(PeerMessage.TokenProduced(attempt(1), index, " wörd"))

    @Test
    fun aLostCompanionIsReportedOnceAndAReconnectWorks() {
        val atCompanion = connect()
        listener.close(atCompanion)
        assertEquals(FaultCause.CONNECTION_LOST, entry.log.nextIs<Seen.Lost>().fault.cause)
        connect(number = 2)
    }

    @Test
    fun aCloseIsNotReportedHereAndIsReportedThere() {
        val atCompanion = connect()
        dialer.close(ConnectionId(1))
        assertEquals(atCompanion, companion.log.nextIs<Seen.Lost>().connection)
        connect(number = 2)
    }

    @Test
    fun failedAttemptsNameHostAndCause() {
        val closedPort = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        val cases =
            listOf(
                Triple("no listener", Address("127.0.0.1", closedPort), FaultCause.UNREACHABLE),
                Triple("not an address", Address("300.1.1.1", 1), FaultCause.UNREACHABLE),
            )
        cases.forEachIndexed { index, (name, address, cause) ->
            dialer.dial(ConnectionId(index.toLong()), testHost, address, hello())
            assertEquals(cause, entry.log.nextIs<Seen.Lost>().fault.cause, name)
        }
    }

    @Test
    fun wrongFirstAnswersAreRefused() {
        val cases =
            listOf(
                "other host" to welcome(host = HostName("other")),
                "other protocol" to welcome(protocol = 2),
                "not a welcome" to heartbeat(1),
            )
        cases.forEachIndexed { index, (name, answer) ->
            dialer.dial(ConnectionId(index.toLong()), testHost, listener.address, hello(process = name))
            listener.send(companion.log.nextIs<Seen.Connected>().connection, answer)
            entry.log.nextIs<Seen.Rejected>()
            entry.log.nextIs<Seen.Lost>()
            companion.log.nextIs<Seen.Lost>()
        }
    }

    @Test
    fun aCompanionThatStaysSilentTimesOut() {
        val settings = PeerSettings(firstFrameTimeout = 50.milliseconds)
        openPeerDialer(settings, entry).use { impatient ->
            impatient.dial(ConnectionId(1), testHost, listener.address, hello())
            entry.log.nextIs<Seen.Rejected>()
            val fault: Fault = entry.log.nextIs<Seen.Lost>().fault
            assertEquals(FaultCause.TIMEOUT, fault.cause)
        }
    }

    private companion object {
        const val MESSAGES = 10_000
    }
}
