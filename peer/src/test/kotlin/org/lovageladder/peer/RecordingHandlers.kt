package org.lovageladder.peer

import org.lovageladder.core.Address
import org.lovageladder.core.ConnectionId
import org.lovageladder.core.Envelope
import org.lovageladder.core.EventKind
import org.lovageladder.core.Fault
import org.lovageladder.core.HostName
import org.lovageladder.core.HybridTime
import org.lovageladder.core.Incarnation
import org.lovageladder.core.PEER_PROTOCOL
import org.lovageladder.core.PeerMessage
import org.lovageladder.core.ProcessName
import org.lovageladder.core.ReleaseVersion
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.assertIs
import kotlin.test.assertNotNull

internal val testHost = HostName("mohacs-1")
internal val testIncarnation = Incarnation(7)
internal val anyLoopbackPort = Address("127.0.0.1", 0)

/** Call of a [ListenerHandler] or [DialerHandler]. */
internal sealed interface HandlerCall {
    data class Connected(val connectionId: ConnectionId, val firstMessage: PeerMessage) : HandlerCall

    data class Received(val connectionId: ConnectionId, val message: PeerMessage) : HandlerCall

    data class Lost(val connectionId: ConnectionId, val fault: Fault) : HandlerCall

    data class Rejected(val kind: EventKind, val fault: Fault) : HandlerCall
}

/** Calls that a handler received, in order. */
internal class HandlerCallQueue {
    val queue = LinkedBlockingQueue<HandlerCall>()

    fun next(): HandlerCall =
        assertNotNull(queue.poll(20, TimeUnit.SECONDS), "the handler was not called within 20 seconds")

    inline fun <reified T : HandlerCall> nextIs(): T = assertIs<T>(next())
}

internal class RecordingListenerHandler : ListenerHandler {
    val calls = HandlerCallQueue()

    override fun connected(connection: ConnectionId, envelope: Envelope, hello: PeerMessage.Hello) {
        calls.queue.add(HandlerCall.Connected(connection, hello))
    }

    override fun received(connection: ConnectionId, envelope: Envelope) {
        calls.queue.add(HandlerCall.Received(connection, envelope.message))
    }

    override fun lost(connection: ConnectionId, fault: Fault) {
        calls.queue.add(HandlerCall.Lost(connection, fault))
    }

    override fun rejected(kind: EventKind, fault: Fault) {
        calls.queue.add(HandlerCall.Rejected(kind, fault))
    }
}

internal class RecordingDialerHandler : DialerHandler {
    val calls = HandlerCallQueue()

    override fun connected(connection: ConnectionId, envelope: Envelope, welcome: PeerMessage.Welcome) {
        calls.queue.add(HandlerCall.Connected(connection, welcome))
    }

    override fun received(connection: ConnectionId, envelope: Envelope) {
        calls.queue.add(HandlerCall.Received(connection, envelope.message))
    }

    override fun lost(connection: ConnectionId, host: HostName, fault: Fault) {
        calls.queue.add(HandlerCall.Lost(connection, fault))
    }

    override fun rejected(kind: EventKind, fault: Fault) {
        calls.queue.add(HandlerCall.Rejected(kind, fault))
    }
}

internal fun envelopeOf(message: PeerMessage): Envelope = Envelope(ReleaseVersion(3), HybridTime(1, 0), message)

internal fun hello(
    process: String = "entry-1",
    protocol: Int = PEER_PROTOCOL,
    host: HostName = testHost,
    incarnation: Incarnation? = null,
): Envelope = envelopeOf(PeerMessage.Hello(protocol, ProcessName(process), Incarnation(1), host, incarnation))

internal fun welcome(protocol: Int = PEER_PROTOCOL, host: HostName = testHost): Envelope =
    envelopeOf(PeerMessage.Welcome(protocol, host, testIncarnation, leaving = false, loads = emptyList()))

internal fun heartbeat(sequence: Long): Envelope = envelopeOf(PeerMessage.Heartbeat(sequence))
