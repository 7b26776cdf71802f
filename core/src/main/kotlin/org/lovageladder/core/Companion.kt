package org.lovageladder.core

import kotlin.time.Duration

/** Returns the decisions of a companion that has just started with [settings]. */
public fun companionDecisions(settings: CompanionSettings): CompanionDecisions = Companion(settings)

/**
 * Dispatches each event to the component that handles it. Before and after each event, timeouts that are due take
 * effect first; then waiting attempts that fit are started.
 */
private class Companion(private val settings: CompanionSettings) : CompanionDecisions {
    private val context = CompanionContext(settings)
    private val output = context.output
    private val releases = ReleaseSync(context)
    private val connections = PeerConnections(context)
    private val claims = ClaimedCalls(context)
    private val upstreams = HostUpstreams(context, claims)
    private val leavingState = LeavingState(context)
    private val attemptMessages = AttemptMessageHandler(context, upstreams, claims)
    private var lastEventAt: Moment? = null
    private var appliedRelease = ReleaseVersion.NONE

    override var isReady: Boolean = false
        private set

    override val release: ReleaseVersion get() = releases.version

    override fun handle(event: CompanionEvent, now: Moment): List<CompanionEffect> {
        output.now = now
        detectSuspension()
        connections.findSilent().forEach { closeConnection(it, EventKind.PEER_SILENT) }
        advance()
        dispatch(event)
        advance()
        return output.takeEffects()
    }

    override fun nextDeadline(): Moment? = context.earliest(
        listOf(
            lastEventAt?.plus(settings.peerSilenceLimit / 2),
            releases.nextDeadline(),
            connections.nextDeadline(),
            upstreams.nextDeadline(),
            claims.answerWriter.nextDeadline(),
        ),
    )

    override fun status(now: Moment): CompanionStatus = CompanionStatus(
        ready = isReady,
        leaving = leavingState.isLeaving,
        release = release,
        host = settings.host,
        incarnation = settings.incarnation,
        connectedEntries = connections.processes,
        loads = upstreams.loads(),
        reservations = upstreams.reservationCount,
        runningCalls = upstreams.runningCallCount,
        startedClaims = claims.registry.startedCount,
    )

    /**
     * A gap above the silence limit means that this process was suspended. Nothing is granted or started then until the
     * release has been read again.
     */
    private fun detectSuspension() {
        val last = lastEventAt
        lastEventAt = context.now
        if (last != null && context.now - last > settings.peerSilenceLimit) releases.wake()
    }

    private fun dispatch(event: CompanionEvent) {
        when (event) {
            is CompanionEvent.Connected -> onConnected(event)
            is CompanionEvent.Disconnected -> onConnectionLost(event.connection, event.fault.toString())
            is CompanionEvent.Received -> onReceived(event.connection, event.envelope)
            is CompanionEvent.CallReported -> schedulerOf(event.attempt)?.onReport(event.attempt, event.report)
            is CompanionEvent.CancelEnded -> schedulerOf(event.attempt)?.onCancelEnded(event.attempt, event.confirmed)
            is CompanionEvent.RunningListed -> upstreams.onRunningListed(event.upstream, event.requests)
            is CompanionEvent.OrphanCancelEnded -> upstreams.onOrphanEnded(event)
            is CompanionEvent.OrderEnded -> upstreams.onOrderEnded(event)
            is CompanionEvent.StoreAnswered -> onStoreAnswer(event.callNumber, event.answer)
            is CompanionEvent.HostsListed -> onHostsListed(event.hosts)
            is CompanionEvent.StopRequested -> if (leavingState.requestStop()) announceLeaving()
            is CompanionEvent.TimePassed -> Unit
        }
    }

    private fun advance() {
        context.attempts.removeExpired()
        releases.advance()
        applyRelease()
        upstreams.advance(mayStart = isReady && releases.isFresh)
        claims.advance()
        updateReadiness()
        leavingState.exitIfDone(upstreams.isIdle && claims.answerWriter.isEmpty)
    }

    private fun applyRelease() {
        if (appliedRelease == release) return
        appliedRelease = release
        upstreams.applyRelease(releases.state)
        if (leavingState.onRelease(releases.state)) announceLeaving()
    }

    private fun updateReadiness() {
        if (isReady || release == ReleaseVersion.NONE || !upstreams.areOrphansCancelled) return
        isReady = true
        output.record(EventKind.PROCESS_READY, host = settings.host, note = release)
    }

    private fun onConnected(event: CompanionEvent.Connected) {
        val replaced = connections.add(event.connection, event.hello)
        replaced.forEach { closeConnection(it, EventKind.PEER_LOST) }
        if (leavingState.isLeaving) output.send(event.connection, PeerMessage.Leaving(settings.host))
        releases.connected(event.connection)
    }

    private fun closeConnection(connection: ConnectionId, kind: EventKind) {
        if (kind == EventKind.PEER_SILENT) output.record(kind, detail = "connection ${connection.number}")
        output.add(CompanionEffect.Disconnect(connection))
        onConnectionLost(connection, "closed by this companion")
    }

    private fun onConnectionLost(connection: ConnectionId, detail: String) {
        if (!connections.remove(connection, detail)) return
        releases.connectionLost(connection)
        claims.registry.connectionLost(connection)
        for (id in context.attempts.ownedBy(connection)) schedulerOf(id)?.cancel(id, AttemptEnding.LAPSED)
    }

    private fun onReceived(connection: ConnectionId, envelope: Envelope) {
        if (!connections.recordMessage(connection)) return
        releases.heardOf(connection, envelope.release)
        val refusal = newWorkRefusal()
        when (val message = envelope.message) {
            is PeerMessage.Reserve -> attemptMessages.reserve(connection, message, refusal)
            is PeerMessage.StartPrefill -> attemptMessages.startPrefill(connection, message, refusal)
            is PeerMessage.StartPlain -> attemptMessages.startPlain(connection, message, refusal)
            is PeerMessage.StartDecode -> attemptMessages.startDecode(connection, message)
            is PeerMessage.Cancel -> attemptMessages.cancel(message.attempt)
            is PeerMessage.VoidClaim ->
                output.send(connection, attemptMessages.voidClaim(message.storeKey, message.number))
            is PeerMessage.FollowClaim ->
                claims.registry.follow(connection, message.storeKey, message.number)
                    ?.let { output.send(connection, it) }
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

    /** Why new work is refused at present; null when it is accepted. */
    private fun newWorkRefusal(): NewWorkRefusal? = when {
        leavingState.isLeaving -> NewWorkRefusal(FaultCause.LEAVING, "host is leaving", Duration.ZERO)
        !isReady -> NewWorkRefusal(FaultCause.REJECTED, "not ready", RetryDelayEstimate.MINIMUM_RETRY_DELAY)
        else -> null
    }

    private fun onStoreAnswer(callNumber: Long, answer: StoreAnswer) {
        if (!releases.storeAnswered(callNumber, answer)) claims.answerWriter.onStoreAnswer(callNumber, answer)
    }

    private fun onHostsListed(hosts: List<ListedHost>) {
        if (leavingState.onHostsListed(hosts)) announceLeaving()
    }

    private fun announceLeaving() {
        output.record(EventKind.PROCESS_DRAINING, host = settings.host)
        connections.connectionIds.forEach { output.send(it, PeerMessage.Leaving(settings.host)) }
        upstreams.refuseWaiting(Fault(Step.CHOOSE, settings.host.text, FaultCause.LEAVING, "host is leaving"))
    }

    private fun schedulerOf(attempt: AttemptId): UpstreamScheduler? = context.attempts.find(attempt)?.scheduler
}
