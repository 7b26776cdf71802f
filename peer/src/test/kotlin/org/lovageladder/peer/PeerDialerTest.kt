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

internal fun attemptId(number: Int): AttemptId = AttemptId(RequestId("request-1"), number)

class PeerDialerTest {
    private val entryHandler = RecordingDialerHandler()
    private val companionHandler = RecordingListenerHandler()
    private val dialer = openPeerDialer(handler = entryHandler)
    private val listener = startPeerListener(anyLoopbackPort, testHost, testIncarnation, handler = companionHandler)

    @AfterTest
    fun closeDialerAndListener() {
        dialer.close()
        listener.close()
    }

    private fun openConnection(number: Long = 1): ConnectionId {
        dialer.dial(ConnectionId(number), testHost, listener.address, hello())
        val connected = companionHandler.calls.nextIs<HandlerCall.Connected>()
        listener.send(connected.connectionId, welcome())
        assertEquals(ConnectionId(number), entryHandler.calls.nextIs<HandlerCall.Connected>().connectionId)
        return connected.connectionId
    }

    @Test
    fun tenThousandMessagesEachWayArriveInOrder() {
        val listenerId = openConnection()
        val senders = listOf(
            Thread { repeat(MESSAGE_COUNT) { index -> dialer.send(ConnectionId(1), heartbeat(index.toLong())) } },
            Thread { repeat(MESSAGE_COUNT) { index -> listener.send(listenerId, tokenProduced(index)) } },
        )
        senders.forEach(Thread::start)
        repeat(MESSAGE_COUNT) { index ->
            assertEquals(
                HandlerCall.Received(listenerId, PeerMessage.Heartbeat(index.toLong())),
                companionHandler.calls.next(),
            )
            assertEquals(HandlerCall.Received(ConnectionId(1), tokenProduced(index).message), entryHandler.calls.next())
        }
    }

    private fun tokenProduced(index: Int) = envelopeOf(PeerMessage.TokenProduced(attemptId(1), index, " wörd"))

    @Test
    fun aLostConnectionIsReportedOnceAndAReconnectWorks() {
        val listenerId = openConnection()
        listener.close(listenerId)
        assertEquals(FaultCause.CONNECTION_LOST, entryHandler.calls.nextIs<HandlerCall.Lost>().fault.cause)
        openConnection(number = 2)
    }

    @Test
    fun aCloseIsReportedToTheCompanionOnly() {
        val listenerId = openConnection()
        dialer.close(ConnectionId(1))
        assertEquals(listenerId, companionHandler.calls.nextIs<HandlerCall.Lost>().connectionId)
        openConnection(number = 2)
    }

    @Test
    fun aConnectionThatCannotBeOpenedIsReportedAsUnreachable() {
        val closedPort = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        val cases = listOf(
            Triple("no listener", Address("127.0.0.1", closedPort), FaultCause.UNREACHABLE),
            Triple("not an address", Address("300.1.1.1", 1), FaultCause.UNREACHABLE),
        )
        cases.forEachIndexed { index, (name, address, cause) ->
            dialer.dial(ConnectionId(index.toLong()), testHost, address, hello())
            assertEquals(cause, entryHandler.calls.nextIs<HandlerCall.Lost>().fault.cause, name)
        }
    }

    @Test
    fun anInvalidFirstAnswerIsRejectedAndEndsTheConnection() {
        val cases = listOf(
            "other host" to welcome(host = HostName("other")),
            "other protocol" to welcome(protocol = 2),
            "not a welcome" to heartbeat(1),
        )
        cases.forEachIndexed { index, (name, firstAnswer) ->
            dialer.dial(ConnectionId(index.toLong()), testHost, listener.address, hello(process = name))
            listener.send(companionHandler.calls.nextIs<HandlerCall.Connected>().connectionId, firstAnswer)
            entryHandler.calls.nextIs<HandlerCall.Rejected>()
            entryHandler.calls.nextIs<HandlerCall.Lost>()
            companionHandler.calls.nextIs<HandlerCall.Lost>()
        }
    }

    @Test
    fun aCompanionWithoutAFirstMessageTimesOut() {
        val settings = PeerSettings(firstFrameTimeout = 50.milliseconds)
        openPeerDialer(settings, entryHandler).use { dialerWithShortTimeout ->
            dialerWithShortTimeout.dial(ConnectionId(1), testHost, listener.address, hello())
            entryHandler.calls.nextIs<HandlerCall.Rejected>()
            val fault: Fault = entryHandler.calls.nextIs<HandlerCall.Lost>().fault
            assertEquals(FaultCause.TIMEOUT, fault.cause)
        }
    }

    private companion object {
        const val MESSAGE_COUNT = 10_000
    }
}
