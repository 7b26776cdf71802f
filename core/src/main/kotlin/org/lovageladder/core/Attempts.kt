package org.lovageladder.core

/** Receives the messages and the connection loss of an attempt. Exactly one of them ends the attempt. */
internal interface AttemptListener {
    /** Handles a message about [attempt]. */
    fun onMessage(attempt: Attempt, message: PeerMessage, now: Moment)

    /** Handles the loss of the connection that carried [attempt]; no more messages about it arrive on it. */
    fun onConnectionLost(attempt: Attempt, fault: Fault, now: Moment)
}

/** An attempt in flight at a companion. */
internal class Attempt(
    val id: AttemptId,
    val upstream: UpstreamRecord,
    val link: CompanionLink,
    val connection: ConnectionId,
    val listener: AttemptListener,
    val startedAt: Moment,
    val pieces: Int = 0,
    val promptTokens: Int = 0,
) {
    /** Whether the pieces and tokens count as pending: the companion has not answered with its ledger state yet. */
    var isPending: Boolean = true
}

/** All attempts of this entry in flight, by identifier. Confined to one thread. */
internal class Attempts(private val links: CompanionLinks, private val table: UpstreamTable) {
    private val open = HashMap<AttemptId, Attempt>()

    operator fun get(id: AttemptId): Attempt? = open[id]

    fun hasAttemptsAt(host: HostName): Boolean = open.values.any { it.link.host == host }

    /** Starts an attempt by sending [message]; returns null when the upstream's companion is not connected. */
    fun start(
        id: AttemptId,
        upstream: UpstreamRecord,
        listener: AttemptListener,
        message: PeerMessage,
        now: Moment,
        pieces: Int = 0,
        promptTokens: Int = 0,
    ): Attempt? {
        val link = links.up(upstream.entry.host) ?: return null
        val connection = link.connection ?: return null
        val attempt = Attempt(id, upstream, link, connection, listener, now, pieces, promptTokens)
        open[id] = attempt
        upstream.inFlight++
        upstream.pendingPieces += pieces
        upstream.pendingPromptTokens += promptTokens
        links.send(link, message)
        return attempt
    }

    /** Records [load], which already includes what [attempt] requested. */
    fun recordLoad(attempt: Attempt, load: UpstreamLoad?, now: Moment) {
        load?.let { table.recordLoad(it, now) }
        removeFromPending(attempt)
    }

    /** Ends an attempt whose final message arrived. */
    fun end(attempt: Attempt) {
        if (open.remove(attempt.id) == null) return
        attempt.upstream.inFlight--
        removeFromPending(attempt)
    }

    /** Ends an attempt that is no longer needed and frees what it holds at its companion. */
    fun cancel(attempt: Attempt) {
        if (open[attempt.id] !== attempt) return
        end(attempt)
        if (attempt.link.connection == attempt.connection) {
            links.send(attempt.link, PeerMessage.Cancel(attempt.id))
        }
    }

    /** Ends all attempts carried by [connection] and notifies their listeners. */
    fun onConnectionLost(connection: ConnectionId, fault: Fault, now: Moment) {
        val lost = open.values.filter { it.connection == connection }.sortedBy { it.id.toString() }
        lost.forEach(::end)
        lost.forEach { it.listener.onConnectionLost(it, fault, now) }
    }

    private fun removeFromPending(attempt: Attempt) {
        if (!attempt.isPending) return
        attempt.isPending = false
        attempt.upstream.pendingPieces -= attempt.pieces
        attempt.upstream.pendingPromptTokens -= attempt.promptTokens
    }
}
