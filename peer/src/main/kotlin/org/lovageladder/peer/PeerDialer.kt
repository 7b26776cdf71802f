package org.lovageladder.peer

import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.lovageladder.core.Address
import org.lovageladder.core.ConnectionId
import org.lovageladder.core.Envelope
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.HostName
import org.lovageladder.core.PeerMessage
import org.lovageladder.core.Step
import java.nio.channels.UnresolvedAddressException
import java.util.concurrent.ConcurrentHashMap

/** Opens connections from an entry to companions. */
public interface PeerDialer : AutoCloseable {
    /** Opens [connection] to the companion of [host] and sends [hello], which must carry a [PeerMessage.Hello]. */
    public fun dial(connection: ConnectionId, host: HostName, address: Address, hello: Envelope)

    /** Queues [envelope] without blocking; drops it when the connection is not established. */
    public fun send(connection: ConnectionId, envelope: Envelope)

    /** Closes a connection, or cancels its opening, without waiting and without a call to [DialerHandler.lost]. */
    public fun close(connection: ConnectionId)

    /** Closes all connections and waits until queued messages are sent, at most [PeerSettings.closeTimeout]. */
    override fun close()
}

/** Creates a dialer that has no connections yet. */
public fun openPeerDialer(settings: PeerSettings = PeerSettings(), handler: DialerHandler): PeerDialer =
    SocketPeerDialer(settings, handler)

/** A connection from the call of [PeerDialer.dial] until its end; [link] is null while the socket is being opened. */
private class OutgoingConnection(val host: HostName, val address: Address) {
    @Volatile
    var link: PeerLink? = null
}

private class SocketPeerDialer(private val settings: PeerSettings, private val handler: DialerHandler) : PeerDialer {
    private val resources = SocketResources()
    private val connections = ConcurrentHashMap<ConnectionId, OutgoingConnection>()

    override fun dial(connection: ConnectionId, host: HostName, address: Address, hello: Envelope) {
        val outgoing = OutgoingConnection(host, address)
        connections[connection] = outgoing
        resources.scope.launch { openConnection(connection, outgoing, hello) }
    }

    override fun send(connection: ConnectionId, envelope: Envelope) {
        connections[connection]?.link?.takeIf { it.isEstablished }?.send(envelope)
    }

    override fun close(connection: ConnectionId) {
        connections.remove(connection)?.link?.close()
    }

    override fun close() {
        connections.keys.forEach(::close)
        resources.close(settings.closeTimeout)
    }

    private suspend fun openConnection(connection: ConnectionId, outgoing: OutgoingConnection, hello: Envelope) {
        val socket =
            try {
                withTimeoutOrNull(settings.connectTimeout) { openSocket(outgoing.address) }
                    ?: return onDialFailure(
                        connection,
                        outgoing,
                        FaultCause.TIMEOUT,
                        "no connection within ${settings.connectTimeout}",
                    )
            } catch (failure: IOException) {
                return onDialFailure(connection, outgoing, FaultCause.UNREACHABLE, failure.message.orEmpty())
            } catch (_: UnresolvedAddressException) {
                return onDialFailure(connection, outgoing, FaultCause.UNREACHABLE, "not an IP address")
            }
        val link = PeerLink(connection, outgoing.address.toString(), socket, resources.scope, settings, ::onLinkEnd)
        outgoing.link = link
        if (connections[connection] !== outgoing) return link.close()
        link.send(hello)
        try {
            awaitWelcome(link, outgoing)
        } finally {
            link.end(connectionLostFault(link.peer, "reading stopped"))
        }
    }

    private suspend fun openSocket(address: Address): Socket =
        aSocket(resources.selector).tcp().connect(address.ip, address.port)

    private suspend fun awaitWelcome(link: PeerLink, outgoing: OutgoingConnection) {
        link.readFirstMessage(settings).andThen { envelope -> checkWelcome(envelope, outgoing.host, link.peer) }.fold(
            success = { welcome -> establishAndReceive(link, welcome) },
            failure = { rejection ->
                link.runIfOpen { rejection.eventKind?.let { kind -> handler.rejected(kind, rejection.fault) } }
                link.end(rejection.fault)
            },
        )
    }

    private suspend fun establishAndReceive(link: PeerLink, welcome: FirstMessage<PeerMessage.Welcome>) {
        link.establish { handler.connected(link.connectionId, welcome.envelope, welcome.message) }
        link.receiveMessages({ envelope -> handler.received(link.connectionId, envelope) }, handler::rejected)
    }

    private fun onDialFailure(
        connection: ConnectionId,
        outgoing: OutgoingConnection,
        cause: FaultCause,
        detail: String,
    ) {
        if (!connections.remove(connection, outgoing)) return
        handler.lost(connection, outgoing.host, Fault(Step.CONNECT, outgoing.address.toString(), cause, detail))
    }

    private fun onLinkEnd(link: PeerLink, fault: Fault) {
        val outgoing = connections.remove(link.connectionId) ?: return
        handler.lost(link.connectionId, outgoing.host, fault)
    }
}
