package org.lovageladder.core

import kotlin.time.Duration

/** Returns the decisions of a companion that has just started with [settings]. */
public fun companionDecisions(settings: CompanionSettings): CompanionDecisions = Companion(settings)

/**
 * Routes each event to the part of the companion that it concerns. Before and after an event, everything that time
 * has made due is let pass, in that order: what lapses first, then what fits.
 */
private class Companion(private val settings: CompanionSettings) : CompanionDecisions {
    private val context = CompanionContext(settings)
    private val output = context.output
    private val releases = ReleaseSync(context)
    private val connections = PeerConnections(context)
    private val claims = ClaimedCalls(context)
    private val upstreams = HostUpstreams(context, claims)
    private val departure = Departure(context)
    private val starts = AttemptStarts(context, upstreams, claims)
    private var previous: Moment? = null
    private var followed = ReleaseVersion.NONE

    override var ready: Boolean = false
        private set

    override val release: ReleaseVersion get() = releases.version

    override fun handle(event: CompanionEvent, now: Moment): List<CompanionEffect> {
        output.now = now
        noticePause()
        connections.silent().forEach { drop(it, EventKind.PEER_SILENT) }
        advance()
        take(event)
        advance()
        return output.take()
    }

    override fun nextDeadline(): Moment? = context.earliest(
        listOf(
            previous?.plus(settings.peerSilenceLimit / 2),
            releases.nextDeadline(),
            connections.nextDeadline(),
            upstreams.nextDeadline(),
            claims.answers.nextDeadline(),
        ),
    )

    override fun status(now: Moment): CompanionStatus = CompanionStatus(
        ready = ready,
        leaving = departure.isLeaving,
        release = release,
        host = settings.host,
        incarnation = settings.incarnation,
        connectedEntries = connections.processes,
        loads = upstreams.loads(),
        reservations = upstreams.reservations,
        runningCalls = upstreams.runningCalls,
        startedClaims = claims.gate.startedCount,
    )

    /** After a gap in which this process must have been stopped, nothing is granted on old knowledge. */
    private fun noticePause() {
        val last = previous
        previous = context.now
        if (last != null && context.now - last > settings.peerSilenceLimit) releases.wake()
    }

    private fun take(event: CompanionEvent) {
        when (event) {
            is CompanionEvent.Connected -> connected(event)
            is CompanionEvent.Disconnected -> lost(event.connection, event.fault.toString())
            is CompanionEvent.Received -> received(event.connection, event.envelope)
            is CompanionEvent.Reported -> find(event.attempt)?.reported(event.attempt, event.report)
            is CompanionEvent.CancelEnded -> find(event.attempt)?.cancelEnded(event.attempt, event.confirmed)
            is CompanionEvent.RunningListed -> upstreams.listed(event.upstream, event.requests)
            is CompanionEvent.OrphanEnded -> upstreams.orphanEnded(event)
            is CompanionEvent.OrderEnded -> upstreams.orderEnded(event)
            is CompanionEvent.StoreAnswered -> storeAnswered(event.ticket, event.answer)
            is CompanionEvent.HostsListed -> hostsListed(event.hosts)
            is CompanionEvent.StopRequested -> if (departure.stop()) leave()
            is CompanionEvent.TimePassed -> Unit
        }
    }

    private fun advance() {
        context.attempts.forgetOld()
        releases.advance()
        followRelease()
        upstreams.advance(mayStart = ready && releases.isFresh)
        claims.advance()
        becomeReady()
        departure.exitWhen(upstreams.isIdle && claims.answers.isEmpty)
    }

    private fun followRelease() {
        if (followed == release) return
        followed = release
        upstreams.follow(releases.state)
        if (departure.follow(releases.state)) leave()
    }

    private fun becomeReady() {
        if (ready || release == ReleaseVersion.NONE || !upstreams.isSwept) return
        ready = true
        output.record(EventKind.PROCESS_READY, host = settings.host, note = release)
    }

    private fun connected(event: CompanionEvent.Connected) {
        val replaced = connections.add(event.connection, event.hello)
        replaced.forEach { drop(it, EventKind.PEER_LOST) }
        if (departure.isLeaving) output.send(event.connection, PeerMessage.Leaving(settings.host))
        releases.connected(event.connection)
    }

    private fun drop(connection: ConnectionId, kind: EventKind) {
        if (kind == EventKind.PEER_SILENT) output.record(kind, detail = "connection ${connection.number}")
        output.add(CompanionEffect.Disconnect(connection))
        lost(connection, "closed by this companion")
    }

    private fun lost(connection: ConnectionId, detail: String) {
        if (!connections.remove(connection, detail)) return
        releases.connectionLost(connection)
        claims.gate.connectionLost(connection)
        for (attempt in context.attempts.ownedBy(connection)) find(attempt)?.cancel(attempt, AttemptEnding.LAPSED)
    }

    private fun received(connection: ConnectionId, envelope: Envelope) {
        if (!connections.heard(connection)) return
        releases.heardOf(connection, envelope.release)
        val refusal = takesNothingNew()
        when (val message = envelope.message) {
            is PeerMessage.Reserve -> starts.reserve(connection, message, refusal)
            is PeerMessage.StartPrefill -> starts.prefill(connection, message, refusal)
            is PeerMessage.StartPlain -> starts.plain(connection, message, refusal)
            is PeerMessage.StartDecode -> starts.decode(connection, message)
            is PeerMessage.Cancel -> starts.cancel(message.attempt)
            is PeerMessage.VoidClaim ->
                output.send(connection, starts.voidClaim(message.storeKey, message.number))
            is PeerMessage.FollowClaim ->
                claims.gate.follow(connection, message.storeKey, message.number)?.let { output.send(connection, it) }
            is PeerMessage.Heartbeat -> connections.answerHeartbeat(connection, message.sequence, upstreams.loads())
            is PeerMessage.FetchNotes -> output.send(connection, releases.notesAfter(message.after))
            is PeerMessage.Notes -> releases.notesFrom(connection, message.notes)
            is PeerMessage.Hello,
            is PeerMessage.Welcome,
            is PeerMessage.Granted,
            is PeerMessage.Refused,
            is PeerMessage.PrefillReady,
            is PeerMessage.TokenProduced,
            is PeerMessage.DecodeFinished,
            is PeerMessage.PlainFinished,
            is PeerMessage.AttemptFailed,
            is PeerMessage.ClaimStatus,
            is PeerMessage.Loads,
            is PeerMessage.Leaving,
            -> Unit
        }
    }

    /** Why no new work is taken at present; null when it is. */
    private fun takesNothingNew(): Refusal? = when {
        departure.isLeaving -> Refusal(FaultCause.LEAVING, "host is leaving", Duration.ZERO)
        !ready -> Refusal(FaultCause.REJECTED, "not ready", DrainEstimate.SHORTEST_RETRY)
        else -> null
    }

    private fun storeAnswered(ticket: Long, answer: StoreAnswer) {
        if (!releases.storeAnswered(ticket, answer)) claims.answers.storeAnswered(ticket, answer)
    }

    private fun hostsListed(hosts: List<ListedHost>) {
        if (departure.hostsListed(hosts)) leave()
    }

    private fun leave() {
        output.record(EventKind.PROCESS_DRAINING, host = settings.host)
        connections.identifiers.forEach { output.send(it, PeerMessage.Leaving(settings.host)) }
        upstreams.refuseWaiting(Fault(Step.CHOOSE, settings.host.text, FaultCause.LEAVING, "host is leaving"))
    }

    private fun find(attempt: AttemptId): UpstreamWork? = context.attempts.find(attempt)?.work
}
