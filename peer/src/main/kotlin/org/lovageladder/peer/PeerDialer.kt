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
    /** Opens [connection] to the companion of [host] and sends [hello], whose message is a [PeerMessage.Hello]. */
    public fun dial(connection: ConnectionId, host: HostName, address: Address, hello: Envelope)

    /** Queues [envelope] without blocking; dropped when the connection is not established. */
    public fun send(connection: ConnectionId, envelope: Envelope)

    /** Closes a connection, or gives up its opening, without waiting and without a report. */
    public fun close(connection: ConnectionId)

    /** Closes all connections and waits, at most [PeerSettings.closeTimeout], until what is queued was sent. */
    override fun close()
}

/** Creates a dialer without connections. */
public fun openPeerDialer(settings: PeerSettings = PeerSettings(), handler: DialerHandler): PeerDialer =
    SocketPeerDialer(settings, handler)

/** A connection that is wanted; [link] is null while it is being opened. */
private class Dialed(val host: HostName, val address: Address) {
    @Volatile
    var link: PeerLink? = null
}

private class SocketPeerDialer(private val settings: PeerSettings, private val handler: DialerHandler) : PeerDialer {
    private val traffic = PeerTraffic()
    private val connections = ConcurrentHashMap<ConnectionId, Dialed>()

    override fun dial(connection: ConnectionId, host: HostName, address: Address, hello: Envelope) {
        val dialed = Dialed(host, address)
        connections[connection] = dialed
        traffic.scope.launch { open(connection, dialed, hello) }
    }

    override fun send(connection: ConnectionId, envelope: Envelope) {
        connections[connection]?.link?.takeIf { it.established }?.send(envelope)
    }

    override fun close(connection: ConnectionId) {
        connections.remove(connection)?.link?.close()
    }

    override fun close() {
        connections.keys.forEach(::close)
        traffic.close(settings.closeTimeout)
    }

    private suspend fun open(connection: ConnectionId, dialed: Dialed, hello: Envelope) {
        val socket =
            try {
                withTimeoutOrNull(settings.connectTimeout) { connect(dialed.address) }
                    ?: return failed(connection, dialed, FaultCause.TIMEOUT, "not connected in time")
            } catch (failure: IOException) {
                return failed(connection, dialed, FaultCause.UNREACHABLE, failure.message.orEmpty())
            } catch (_: UnresolvedAddressException) {
                return failed(connection, dialed, FaultCause.UNREACHABLE, "not an IP address")
            }
        val link = PeerLink(connection, dialed.address.toString(), socket, traffic.scope, settings, ::ended)
        dialed.link = link
        if (connections[connection] !== dialed) return link.close()
        link.send(hello)
        try {
            awaitWelcome(link, dialed)
        } finally {
            link.end(connectionLost(link.peer, "no longer read"))
        }
    }

    private suspend fun connect(address: Address): Socket =
        aSocket(traffic.selector).tcp().connect(address.ip, address.port)

    private suspend fun awaitWelcome(link: PeerLink, dialed: Dialed) {
        link.readFirst(settings).andThen { envelope -> checkWelcome(envelope, dialed.host, link.peer) }.fold(
            success = { first -> begin(link, first) },
            failure = { rejection ->
                link.whileOpen { rejection.kind?.let { kind -> handler.rejected(kind, rejection.fault) } }
                link.end(rejection.fault)
            },
        )
    }

    private suspend fun begin(link: PeerLink, first: FirstMessage<PeerMessage.Welcome>) {
        link.establish { handler.connected(link.connection, first.envelope, first.message) }
        link.receiveAll({ envelope -> handler.received(link.connection, envelope) }, handler::rejected)
    }

    private fun failed(connection: ConnectionId, dialed: Dialed, cause: FaultCause, detail: String) {
        if (!connections.remove(connection, dialed)) return
        handler.lost(connection, dialed.host, Fault(Step.CONNECT, dialed.address.toString(), cause, detail))
    }

    private fun ended(link: PeerLink, fault: Fault) {
        val dialed = connections.remove(link.connection) ?: return
        handler.lost(link.connection, dialed.host, fault)
    }
}
