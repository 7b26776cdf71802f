package org.lovageladder.core

/** Receives what becomes of one attempt. Exactly one of the last reports ends the attempt. */
internal interface AttemptOwner {
    /** A message about [attempt] arrived. */
    fun received(attempt: Attempt, message: PeerMessage, now: Moment)

    /** The connection that carried [attempt] is gone, and nothing more will be heard of it on that connection. */
    fun lost(attempt: Attempt, fault: Fault, now: Moment)
}

/** One attempt under way at a companion. */
internal class Attempt(
    val id: AttemptId,
    val upstream: UpstreamRecord,
    val link: CompanionLink,
    val connection: ConnectionId,
    val owner: AttemptOwner,
    val startedAt: Moment,
    val pieces: Int = 0,
    val promptTokens: Int = 0,
) {
    /** Whether the asked pieces and tokens still count, that is, no ledger state came after the asking. */
    var counted: Boolean = true
}

/** All attempts of this entry under way, by identifier. Confined to one thread. */
internal class Attempts(private val links: CompanionLinks, private val table: UpstreamTable) {
    private val open = HashMap<AttemptId, Attempt>()

    operator fun get(id: AttemptId): Attempt? = open[id]

    fun runsOn(host: HostName): Boolean = open.values.any { it.link.host == host }

    /** Begins an attempt by sending [message]; null when the upstream's companion is not connected. */
    fun begin(
        id: AttemptId,
        upstream: UpstreamRecord,
        owner: AttemptOwner,
        message: PeerMessage,
        now: Moment,
        pieces: Int = 0,
        promptTokens: Int = 0,
    ): Attempt? {
        val link = links.up(upstream.entry.host) ?: return null
        val connection = link.connection ?: return null
        val attempt = Attempt(id, upstream, link, connection, owner, now, pieces, promptTokens)
        open[id] = attempt
        upstream.inFlight++
        upstream.piecesAsked += pieces
        upstream.promptTokensAsked += promptTokens
        links.send(link, message)
        return attempt
    }

    /** Takes in [load], which shows what was asked for before. */
    fun learn(attempt: Attempt, load: UpstreamLoad?, now: Moment) {
        load?.let { table.learn(it, now) }
        uncount(attempt)
    }

    /** Ends an attempt whose last report arrived. */
    fun end(attempt: Attempt) {
        if (open.remove(attempt.id) == null) return
        attempt.upstream.inFlight--
        uncount(attempt)
    }

    /** Ends an attempt that is no longer wanted and frees what it holds at its companion. */
    fun cancel(attempt: Attempt) {
        if (open[attempt.id] !== attempt) return
        end(attempt)
        if (attempt.link.connection == attempt.connection) {
            links.send(attempt.link, PeerMessage.Cancel(attempt.id))
        }
    }

    /** Ends all attempts carried by [connection] and tells their owners. */
    fun connectionLost(connection: ConnectionId, fault: Fault, now: Moment) {
        val lost = open.values.filter { it.connection == connection }.sortedBy { it.id.toString() }
        lost.forEach(::end)
        lost.forEach { it.owner.lost(it, fault, now) }
    }

    private fun uncount(attempt: Attempt) {
        if (!attempt.counted) return
        attempt.counted = false
        attempt.upstream.piecesAsked -= attempt.pieces
        attempt.upstream.promptTokensAsked -= attempt.promptTokens
    }
}
