package org.lovageladder.core

/** State of an entry's link to the companion on one host. */
internal class CompanionLink(val host: HostName, var address: Address) {
    /** Connection being established or in use; null while waiting to reconnect. */
    var connection: ConnectionId? = null

    /** The companion's first message on [connection]; null until it arrives. */
    var welcome: PeerMessage.Welcome? = null
    var leaving: Boolean = false
    var lastMessageAt: Moment = Moment(0)
    var reconnectTimer: Timer? = null

    val incarnation: Incarnation? get() = welcome?.incarnation
}

/** Receives the connects and disconnects of companion links. */
internal interface LinkListener {
    fun linkUp(link: CompanionLink, now: Moment)

    fun linkDown(link: CompanionLink, connection: ConnectionId, fault: Fault, now: Moment)
}

/**
 * Maintains one connection to each companion of the release: connects, sends heartbeats, closes the connection to a
 * silent peer and reconnects. Only the newest connection of a link counts; events of older ones are ignored. Confined
 * to one thread.
 */
internal class CompanionLinks(
    private val settings: EntrySettings,
    private val output: EntryOutput,
    private val timers: Timers,
    private val listener: LinkListener,
) {
    private val links = LinkedHashMap<HostName, CompanionLink>()
    private val linksByConnection = HashMap<ConnectionId, CompanionLink>()
    private var lastConnectionNumber = 0L
    private var heartbeatCount = 0L

    val connected: List<CompanionLink> get() = links.values.filter { it.welcome != null }

    /** The link to [host]; null when it is not connected. */
    fun up(host: HostName): CompanionLink? = links[host]?.takeIf { it.welcome != null }

    /** The link that [connection] belongs to; null when it is no longer the newest of its host. */
    fun ofConnection(connection: ConnectionId): CompanionLink? = linksByConnection[connection]

    /**
     * Connects to the companions named in the settings, from which an entry gets the release while the store is
     * unavailable.
     */
    fun bootstrap(peers: List<BootstrapPeer>) {
        peers.forEach { peer ->
            val link = links.getOrPut(peer.host) { CompanionLink(peer.host, peer.address) }
            if (link.connection == null) connect(link)
        }
    }

    /**
     * Connects to the companions of [state]. Links to hosts that are no longer in it are removed once nothing runs
     * there.
     */
    fun apply(state: ReleaseState, now: Moment, isBusy: (HostName) -> Boolean) {
        val wanted = state.hosts.values.filter { it.role == HostRole.COMPANION }
        wanted.forEach { host ->
            val address = host.peerAddress ?: return@forEach
            val link = links.getOrPut(host.name) { CompanionLink(host.name, address) }
            if (link.address != address) {
                link.address = address
                closeConnection(
                    link,
                    Fault(Step.CONNECT, host.name.text, FaultCause.CONNECTION_LOST, "address changed"),
                    now,
                )
            }
            if (link.connection == null) connect(link)
        }
        val wantedHosts = wanted.mapTo(mutableSetOf()) { it.name }
        links.values.filter { it.host !in wantedHosts && !isBusy(it.host) }.forEach { removeLink(it, now) }
    }

    fun hostsListed(hosts: List<ListedHost>) {
        hosts.filter { it.leaving }.forEach { listed -> links[listed.name]?.let(::markLeaving) }
    }

    fun markLeaving(link: CompanionLink) {
        if (link.leaving) return
        link.leaving = true
        output.record(EventDraft(EventKind.HOST_LEAVING, host = link.host))
    }

    fun connected(connection: ConnectionId, welcome: PeerMessage.Welcome, now: Moment) {
        val link = linksByConnection[connection]
        if (link == null) {
            output.add(EntryEffect.Disconnect(connection))
            return
        }
        link.welcome = welcome
        link.leaving = welcome.leaving
        link.lastMessageAt = now
        output.record(EventDraft(EventKind.PEER_CONNECTED, host = link.host))
        listener.linkUp(link, now)
    }

    fun disconnected(connection: ConnectionId, fault: Fault, now: Moment) {
        val link = linksByConnection[connection] ?: return
        closeConnection(link, fault, now)
    }

    fun heard(link: CompanionLink, now: Moment) {
        link.lastMessageAt = now
    }

    /** Sends a heartbeat to each connected companion and disconnects those that were silent for too long. */
    fun beat(now: Moment) {
        heartbeatCount++
        links.values.filter { it.welcome != null }.forEach { link ->
            if (now - link.lastMessageAt > settings.peerSilenceLimit) {
                output.record(EventDraft(EventKind.PEER_SILENT, host = link.host))
                closeConnection(
                    link,
                    Fault(Step.CONNECT, link.host.text, FaultCause.TIMEOUT, "no message within the silence limit"),
                    now,
                )
            } else {
                send(link, PeerMessage.Heartbeat(heartbeatCount))
            }
        }
    }

    fun send(link: CompanionLink, message: PeerMessage) {
        val connection = link.connection ?: return
        output.add(EntryEffect.Send(connection, message))
    }

    private fun connect(link: CompanionLink) {
        val connection = ConnectionId(++lastConnectionNumber)
        link.connection = connection
        linksByConnection[connection] = link
        output.add(EntryEffect.Connect(connection, link.host, link.address))
    }

    private fun closeConnection(link: CompanionLink, fault: Fault, now: Moment) {
        val connection = link.connection ?: return
        val wasConnected = link.welcome != null
        linksByConnection.remove(connection)
        link.connection = null
        link.welcome = null
        output.add(EntryEffect.Disconnect(connection))
        link.reconnectTimer = timers.at(now + settings.reconnectInterval) { reconnect(link) }
        if (wasConnected) {
            output.record(EventDraft(EventKind.PEER_LOST, host = link.host, detail = fault.toString()))
            listener.linkDown(link, connection, fault, now)
        }
    }

    private fun reconnect(link: CompanionLink) {
        if (links[link.host] === link && link.connection == null) connect(link)
    }

    private fun removeLink(link: CompanionLink, now: Moment) {
        links.remove(link.host)
        link.reconnectTimer?.cancel()
        closeConnection(link, Fault(Step.RELEASE, link.host.text, FaultCause.LEAVING, "withdrawn"), now)
        link.reconnectTimer?.cancel()
    }
}
