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

/** Accepts the connections that entries open to a companion. */
public interface PeerListener : AutoCloseable {
    /** Address on which connections are accepted, with the assigned port when port 0 was requested. */
    public val address: Address

    /** Queues [envelope] without blocking; drops it when the connection has ended. */
    public fun send(connection: ConnectionId, envelope: Envelope)

    /** Closes a connection once its queue is sent, without waiting and without a call to [ListenerHandler.lost]. */
    public fun close(connection: ConnectionId)

    /** Closes all connections and waits until queued messages are sent, at most [PeerSettings.closeTimeout]. */
    override fun close()
}

/**
 * Listens on [bind] as the companion of [host] in [incarnation]. When one process has two connections, the one that was
 * accepted first is closed. Throws [java.io.IOException] when the address cannot be bound.
 */
public fun startPeerListener(
    bind: Address,
    host: HostName,
    incarnation: Incarnation,
    settings: PeerSettings = PeerSettings(),
    handler: ListenerHandler,
): PeerListener {
    val resources = SocketResources()
    val serverSocket =
        try {
            runBlocking { aSocket(resources.selector).tcp().bind(bind.ip, bind.port) { reuseAddress = true } }
        } catch (failure: IOException) {
            resources.close()
            throw failure
        }
    return SocketPeerListener(bind, serverSocket, ExpectedHello(host, incarnation), settings, handler, resources)
}

private class SocketPeerListener(
    bind: Address,
    private val serverSocket: ServerSocket,
    private val expectedHello: ExpectedHello,
    private val settings: PeerSettings,
    private val handler: ListenerHandler,
    private val resources: SocketResources,
) : PeerListener {
    private val links = ConcurrentHashMap<ConnectionId, PeerLink>()
    private val linksByProcess = ProcessLinks()
    private val lastConnectionNumber = AtomicLong()

    @Volatile
    private var isClosing = false

    override val address: Address = Address(bind.ip, (serverSocket.localAddress as InetSocketAddress).port)

    init {
        resources.scope.launch { acceptConnections() }
    }

    override fun send(connection: ConnectionId, envelope: Envelope) {
        links[connection]?.send(envelope)
    }

    override fun close(connection: ConnectionId) {
        links[connection]?.let(::closeLink)
    }

    override fun close() {
        isClosing = true
        serverSocket.close()
        links.values.forEach(::closeLink)
        resources.close(settings.closeTimeout)
    }

    private fun closeLink(link: PeerLink) {
        link.close()
        removeLink(link)
    }

    private fun removeLink(link: PeerLink) {
        links.remove(link.connectionId)
        linksByProcess.remove(link)
    }

    private suspend fun acceptConnections() {
        while (!isClosing) {
            try {
                val acceptedSocket = serverSocket.accept()
                val connection = ConnectionId(lastConnectionNumber.incrementAndGet())
                resources.scope.launch { handleConnection(connection, acceptedSocket) }
            } catch (failure: IOException) {
                if (isClosing) return
                handler.rejected(EventKind.PEER_REFUSED, connectionLostFault("$address", failure))
                delay(ACCEPT_RETRY_DELAY)
            }
        }
    }

    private suspend fun handleConnection(connection: ConnectionId, acceptedSocket: Socket) {
        val peer = acceptedSocket.remoteAddress.toString().removePrefix("/")
        val link = PeerLink(connection, peer, acceptedSocket, resources.scope, settings, ::onLinkEnd)
        try {
            link.readFirstMessage(settings).andThen { envelope -> expectedHello.check(envelope, peer) }.fold(
                success = { hello -> establishAndReceive(link, hello) },
                failure = { rejection -> reject(link, rejection) },
            )
        } finally {
            link.end(connectionLostFault(peer, "reading stopped"))
        }
    }

    private suspend fun establishAndReceive(link: PeerLink, hello: FirstMessage<PeerMessage.Hello>) {
        links[link.connectionId] = link
        linksByProcess.register(hello.message.process, link)?.let { old -> old.end(connectionReplacedFault(old.peer)) }
        link.establish { handler.connected(link.connectionId, hello.envelope, hello.message) }
        link.receiveMessages({ envelope -> handler.received(link.connectionId, envelope) }, handler::rejected)
    }

    private fun reject(link: PeerLink, rejection: Rejection) {
        rejection.eventKind?.let { kind -> handler.rejected(kind, rejection.fault) }
        link.end(rejection.fault)
    }

    private fun onLinkEnd(link: PeerLink, fault: Fault) {
        removeLink(link)
        if (link.isEstablished) handler.lost(link.connectionId, fault)
    }
}

private val ACCEPT_RETRY_DELAY = 100.milliseconds
