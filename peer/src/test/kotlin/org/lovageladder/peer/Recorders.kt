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
internal val anyPort = Address("127.0.0.1", 0)

internal sealed interface Seen {
    data class Connected(val connection: ConnectionId, val first: PeerMessage) : Seen

    data class Received(val connection: ConnectionId, val message: PeerMessage) : Seen

    data class Lost(val connection: ConnectionId, val fault: Fault) : Seen

    data class Rejected(val kind: EventKind, val fault: Fault) : Seen
}

/** Queue of what a handler was told, in order. */
internal class Log {
    val queue = LinkedBlockingQueue<Seen>()

    fun next(): Seen = assertNotNull(queue.poll(20, TimeUnit.SECONDS), "nothing was reported")

    inline fun <reified T : Seen> nextIs(): T = assertIs<T>(next())
}

internal class RecordingListenerHandler : ListenerHandler {
    val log = Log()

    override fun connected(connection: ConnectionId, envelope: Envelope, hello: PeerMessage.Hello) {
        log.queue.add(Seen.Connected(connection, hello))
    }

    override fun received(connection: ConnectionId, envelope: Envelope) {
        log.queue.add(Seen.Received(connection, envelope.message))
    }

    override fun lost(connection: ConnectionId, fault: Fault) {
        log.queue.add(Seen.Lost(connection, fault))
    }

    override fun rejected(kind: EventKind, fault: Fault) {
        log.queue.add(Seen.Rejected(kind, fault))
    }
}

internal class RecordingDialerHandler : DialerHandler {
    val log = Log()

    override fun connected(connection: ConnectionId, envelope: Envelope, welcome: PeerMessage.Welcome) {
        log.queue.add(Seen.Connected(connection, welcome))
    }

    override fun received(connection: ConnectionId, envelope: Envelope) {
        log.queue.add(Seen.Received(connection, envelope.message))
    }

    override fun lost(connection: ConnectionId, host: HostName, fault: Fault) {
        log.queue.add(Seen.Lost(connection, fault))
    }

    override fun rejected(kind: EventKind, fault: Fault) {
        log.queue.add(Seen.Rejected(kind, fault))
    }
}

internal fun enveloped(message: PeerMessage): Envelope = Envelope(ReleaseVersion(3), HybridTime(1, 0), message)

internal fun hello(
    process: String = "entry-1",
    protocol: Int = PEER_PROTOCOL,
    host: HostName = testHost,
    incarnation: Incarnation? = null,
): Envelope = enveloped(PeerMessage.Hello(protocol, ProcessName(process), Incarnation(1), host, incarnation))

internal fun welcome(protocol: Int = PEER_PROTOCOL, host: HostName = testHost): Envelope =
    enveloped(PeerMessage.Welcome(protocol, host, testIncarnation, leaving = false, loads = emptyList()))

internal fun heartbeat(sequence: Long): Envelope = enveloped(PeerMessage.Heartbeat(sequence))
