package org.lovageladder.core

/**
 * Connections of entries, each with when it was last heard and which loads it was told. They are kept in the order in
 * which they were last heard, so that the longest silent one is found at once.
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

    /** Takes the connection out; false when it was not there. */
    fun remove(connection: ConnectionId, detail: String): Boolean {
        val peer = connections.remove(connection) ?: return false
        output.record(EventKind.PEER_LOST, detail = "${peer.hello.process}: $detail")
        return true
    }

    /** Notes that a message arrived; false when the connection is not there. */
    fun recordMessage(connection: ConnectionId): Boolean {
        val peer = connections.remove(connection) ?: return false
        peer.lastMessageAt = context.now
        connections[connection] = peer
        return true
    }

    /** Connections that were silent longer than the limit. */
    fun findSilent(): List<ConnectionId> = connections.entries
        .takeWhile { it.value.lastMessageAt + context.settings.peerSilenceLimit < context.now }
        .map { it.key }

    /** Answers a heartbeat with the loads that changed since the last one of this connection. */
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
