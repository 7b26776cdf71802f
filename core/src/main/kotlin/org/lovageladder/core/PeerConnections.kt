package org.lovageladder.core

/**
 * Connections of entries, each with the time of its last message and the loads sent to it. They are ordered by their
 * last message, so that the one that was silent longest is found at once.
 */
internal class PeerConnections(private val context: CompanionContext) {
    private class PeerConnection(val hello: PeerMessage.Hello, var lastMessageAt: Moment) {
        val sentLoads = HashMap<UpstreamName, UpstreamLoad>()
    }

    private val connections = LinkedHashMap<ConnectionId, PeerConnection>()
    private val output = context.output

    val processes: List<ProcessName> get() = connections.values.map { it.hello.process }.distinct()
    val connectionIds: List<ConnectionId> get() = connections.keys.toList()

    /** Adds a connection and returns the earlier ones of the same process, which it replaces. */
    fun add(connection: ConnectionId, hello: PeerMessage.Hello): List<ConnectionId> {
        val replaced = connections.filterValues { it.hello.process == hello.process }.keys - connection
        connections[connection] = PeerConnection(hello, context.now)
        output.record(EventKind.PEER_CONNECTED, detail = hello.process.text)
        return replaced.toList()
    }

    /** Removes the connection; false when it is unknown. */
    fun remove(connection: ConnectionId, detail: String): Boolean {
        val peer = connections.remove(connection) ?: return false
        output.record(EventKind.PEER_LOST, detail = "${peer.hello.process}: $detail")
        return true
    }

    /** Records that a message arrived; false when the connection is unknown. */
    fun recordMessage(connection: ConnectionId): Boolean {
        val peer = connections.remove(connection) ?: return false
        peer.lastMessageAt = context.now
        connections[connection] = peer
        return true
    }

    /** Connections that were silent for longer than the limit. */
    fun findSilent(): List<ConnectionId> = connections.entries
        .takeWhile { it.value.lastMessageAt + context.settings.peerSilenceLimit < context.now }
        .map { it.key }

    /** Answers a heartbeat with the loads that changed since the last one on this connection. */
    fun answerHeartbeat(connection: ConnectionId, sequence: Long, loads: List<UpstreamLoad>) {
        val peer = connections[connection] ?: return
        val changed = loads.filter { peer.sentLoads[it.upstream] != it }
        changed.forEach { peer.sentLoads[it.upstream] = it }
        output.send(connection, PeerMessage.Loads(sequence, changed))
    }

    fun nextDeadline(): Moment? = connections.values.firstOrNull()?.lastMessageAt
        ?.plus(context.settings.peerSilenceLimit)
        ?.let { Moment(it.microseconds + 1) }
}
