package org.lovageladder.peer

import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.io.IOException
import org.lovageladder.core.Address
import org.lovageladder.core.ConnectionId
import org.lovageladder.core.Envelope
import org.lovageladder.core.EventKind
import org.lovageladder.core.Fault
import org.lovageladder.core.HostName
import org.lovageladder.core.Incarnation
import org.lovageladder.core.PeerMessage
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

/** Accepts connections of entries at a companion. */
public interface PeerListener : AutoCloseable {
    /** Address on which connections are accepted, with the port that was picked when 0 was asked for. */
    public val address: Address

    /** Queues [envelope] without blocking; dropped when the connection is gone. */
    public fun send(connection: ConnectionId, envelope: Envelope)

    /** Closes a connection after what is queued, without waiting and without a report. */
    public fun close(connection: ConnectionId)

    /** Closes all connections and waits, at most [PeerSettings.closeTimeout], until what is queued was sent. */
    override fun close()
}

/**
 * Listens on [bind] as the companion of [host] in [incarnation]. Of two connections from one process the one that was
 * accepted later stays. Throws [java.io.IOException] when the address cannot be bound.
 */
public fun startPeerListener(
    bind: Address,
    host: HostName,
    incarnation: Incarnation,
    settings: PeerSettings = PeerSettings(),
    handler: ListenerHandler,
): PeerListener {
    val traffic = PeerTraffic()
    val socket =
        try {
            runBlocking { aSocket(traffic.selector).tcp().bind(bind.ip, bind.port) { reuseAddress = true } }
        } catch (failure: IOException) {
            traffic.close()
            throw failure
        }
    return SocketPeerListener(bind, socket, ExpectedHello(host, incarnation), settings, handler, traffic)
}

private class SocketPeerListener(
    bind: Address,
    private val socket: ServerSocket,
    private val expected: ExpectedHello,
    private val settings: PeerSettings,
    private val handler: ListenerHandler,
    private val traffic: PeerTraffic,
) : PeerListener {
    private val links = ConcurrentHashMap<ConnectionId, PeerLink>()
    private val registry = ProcessRegistry()
    private val lastConnection = AtomicLong()

    @Volatile
    private var closing = false

    override val address: Address = Address(bind.ip, (socket.localAddress as InetSocketAddress).port)

    init {
        traffic.scope.launch { acceptAll() }
    }

    override fun send(connection: ConnectionId, envelope: Envelope) {
        links[connection]?.send(envelope)
    }

    override fun close(connection: ConnectionId) {
        links[connection]?.let(::closeLink)
    }

    override fun close() {
        closing = true
        socket.close()
        links.values.forEach(::closeLink)
        traffic.close(settings.closeTimeout)
    }

    private fun closeLink(link: PeerLink) {
        link.close()
        forget(link)
    }

    private fun forget(link: PeerLink) {
        links.remove(link.connection)
        registry.remove(link)
    }

    private suspend fun acceptAll() {
        while (!closing) {
            try {
                val accepted = socket.accept()
                val connection = ConnectionId(lastConnection.incrementAndGet())
                traffic.scope.launch { serve(connection, accepted) }
            } catch (failure: IOException) {
                if (closing) return
                handler.rejected(EventKind.PEER_REFUSED, lostBy("$address", failure))
                delay(ACCEPT_PAUSE)
            }
        }
    }

    private suspend fun serve(connection: ConnectionId, accepted: Socket) {
        val peer = accepted.remoteAddress.toString().removePrefix("/")
        val link = PeerLink(connection, peer, accepted, traffic.scope, settings, ::ended)
        try {
            link.readFirst(settings).andThen { envelope -> expected.check(envelope, peer) }.fold(
                success = { hello -> begin(link, hello) },
                failure = { rejection -> reject(link, rejection) },
            )
        } finally {
            link.end(connectionLost(peer, "no longer read"))
        }
    }

    private suspend fun begin(link: PeerLink, first: FirstMessage<PeerMessage.Hello>) {
        links[link.connection] = link
        registry.claim(first.message.process, link)?.let { older -> older.end(replacedFault(older.peer)) }
        link.establish { handler.connected(link.connection, first.envelope, first.message) }
        link.receiveAll({ envelope -> handler.received(link.connection, envelope) }, handler::rejected)
    }

    private fun reject(link: PeerLink, rejection: Rejection) {
        rejection.kind?.let { kind -> handler.rejected(kind, rejection.fault) }
        link.end(rejection.fault)
    }

    private fun ended(link: PeerLink, fault: Fault) {
        forget(link)
        if (link.established) handler.lost(link.connection, fault)
    }
}

private val ACCEPT_PAUSE = 100.milliseconds
