package org.lovageladder.core

/** Creates the decisions of an entry with the limits and intervals in [settings]. */
public fun entryDecisions(settings: EntrySettings): EntryDecisions = EntryMachine(settings)

/**
 * Dispatches the events of an entry to the components that handle them: the links to companions, the release, and the
 * flow of each request.
 */
private class EntryMachine(private val settings: EntrySettings) :
    EntryDecisions,
    LinkListener {
    private val output = EntryOutput()
    private val timers = Timers()
    private val table = UpstreamTable(settings, ::isUsable, output::record)
    private val links = CompanionLinks(settings, output, timers, this)
    private val attempts = Attempts(links, table)
    private val selector = UpstreamSelector(settings, table)
    private val components = EntryComponents(settings, output, timers, attempts, selector, table, links)
    private val releaseSync = EntryReleaseSync(settings, output, timers, ::onReleaseApplied)
    private val requests = LinkedHashMap<ExchangeId, RequestFlow>()
    private val idPrefix = "${settings.process}-${settings.incarnation.number.toString(ID_RADIX)}"
    private var lastRequest = 0L
    private var lastEventAt: Moment? = null
    private var draining = false
    private var hasExited = false

    override val isReady: Boolean get() = releaseSync.state.version > ReleaseVersion.NONE && !draining

    override val release: ReleaseVersion get() = releaseSync.state.version

    override fun handle(event: EntryEvent, now: Moment): List<EntryEffect> {
        startOrDetectPause(now)
        when (event) {
            is EntryEvent.Submitted -> onSubmitted(event, now)
            is EntryEvent.CallerDisconnected -> requests[event.exchange]?.onCallerDisconnected(now)
            is EntryEvent.Connected -> links.connected(event.connection, event.welcome, now)
            is EntryEvent.Disconnected -> links.disconnected(event.connection, event.fault, now)
            is EntryEvent.Received -> onReceived(event, now)
            is EntryEvent.StoreAnswered -> output.onStoreAnswer(event.callNumber, event.answer, now)
            is EntryEvent.NoteReceived -> releaseSync.applyNotes(listOf(event.note), now)
            is EntryEvent.HostsListed -> links.hostsListed(event.hosts)
            is EntryEvent.StopRequested -> startDraining()
            is EntryEvent.TimePassed -> Unit
        }
        timers.runDue(now)
        exitIfDrained()
        return output.takeEffects()
    }

    override fun nextDeadline(): Moment? = timers.earliest()

    override fun status(now: Moment): EntryStatus = EntryStatus(
        ready = isReady,
        draining = draining,
        release = release,
        requestsInFlight = requests.size,
        connectedHosts = links.connected.map { it.host },
        upstreams = table.all.map { viewOf(it, now) },
    )

    private fun viewOf(upstream: UpstreamRecord, now: Moment): UpstreamView = UpstreamView(
        upstream = upstream.name,
        pool = upstream.entry.pool,
        host = upstream.entry.host,
        place = upstream.place,
        state = stateOf(upstream, now),
        load = upstream.load,
        inFlight = upstream.inFlight,
        firstLatencyMicroseconds = upstream.firstLatency.smoothedMicroseconds.toLong(),
        tokenGapMicroseconds = upstream.tokenGap.smoothedMicroseconds.toLong(),
    )

    private fun stateOf(upstream: UpstreamRecord, now: Moment): UpstreamState {
        val link = links.up(upstream.entry.host)
        return when {
            link == null -> UpstreamState.UNREACHABLE
            link.leaving -> UpstreamState.LEAVING
            upstream.isOnProbation(now) -> UpstreamState.PROBATION
            else -> UpstreamState.SERVING
        }
    }

    private fun isUsable(upstream: UpstreamRecord): Boolean {
        val link = links.up(upstream.entry.host) ?: return false
        return !link.leaving
    }

    /** Starts the periodic work at the first event. A long time between two events counts as a pause of the process. */
    private fun startOrDetectPause(now: Moment) {
        val previous = lastEventAt
        lastEventAt = now
        if (previous == null) {
            output.record(EventDraft(EventKind.PROCESS_STARTED, host = settings.host))
            releaseSync.start(now)
            links.bootstrap(settings.bootstrap)
            sendHeartbeats(now)
        } else if (now - previous > settings.peerSilenceLimit) {
            releaseSync.onPauseDetected()
        }
    }

    private fun sendHeartbeats(now: Moment) {
        links.beat(now)
        timers.at(now + settings.heartbeatInterval) { sendHeartbeats(it) }
    }

    private fun onSubmitted(event: EntryEvent.Submitted, now: Moment) {
        val id = RequestId("$idPrefix-${++lastRequest}")
        val refusal = admissionRefusal(event.submission)?.let { withUnknownExecutionIfKeyed(it, event.submission) }
        if (refusal != null) {
            val detail = refusalDetail(refusal)
            output.record(EventDraft(EventKind.REQUEST_REFUSED, request = id, detail = detail))
            output.add(EntryEffect.SendOutcome(event.exchange, id, refusal))
            return
        }
        val flow = createFlow(event, id, now)
        requests[event.exchange] = flow
        output.record(EventDraft(EventKind.REQUEST_ACCEPTED, request = id, detail = event.submission.service.text))
        flow.begin(now)
    }

    private fun admissionRefusal(submission: Submission): Outcome.Refused? {
        val service = releaseSync.state.services[submission.service]
        val requestClass = service?.let { releaseSync.state.requestClass(it, submission.requestClass) }
        return when {
            draining -> refuseNotRun(RefusalReason.LEAVING, "this entry is shutting down", mayRetry = true)
            !isReady -> refuseNotRun(
                RefusalReason.NOT_READY,
                "no release note has been applied here yet",
                mayRetry = true,
            )
            releaseSync.isStale -> refuseNotRun(
                RefusalReason.NOT_READY,
                "this entry was paused and is reading the release again",
                mayRetry = true,
            )
            service == null -> refuseNotRun(RefusalReason.UNKNOWN_SERVICE, "no service ${submission.service}")
            requestClass == null ->
                refuseNotRun(
                    RefusalReason.UNKNOWN_CLASS,
                    "service ${service.name} has no class ${submission.requestClass}",
                )
            else -> contentRefusal(submission, service, requestClass)
        }
    }

    /** Sets execution to unknown if there is a key, since an earlier submission of the key may have run. */
    private fun withUnknownExecutionIfKeyed(refused: Outcome.Refused, submission: Submission): Outcome.Refused =
        if (submission.idempotencyKey == null) refused else refused.copy(execution = Execution.UNKNOWN)

    private fun contentRefusal(
        submission: Submission,
        service: ReleaseEntry.Service,
        requestClass: ReleaseEntry.RequestClass,
    ): Outcome.Refused? {
        val isGeneration = submission.content is RequestContent.Generation
        return when {
            isGeneration != (requestClass.target is LatencyTarget.Stream) ->
                refuseNotRun(
                    RefusalReason.WRONG_CONTENT,
                    "service ${service.name} does not accept this kind of request",
                )
            !requestClass.idempotent && submission.idempotencyKey == null ->
                refuseNotRun(RefusalReason.KEY_MISSING, "class ${requestClass.name} needs an Idempotency-Key")
            else -> null
        }
    }

    private fun refuseNotRun(reason: RefusalReason, detail: String, mayRetry: Boolean = false): Outcome.Refused {
        val retryAfter = if (mayRetry) components.addJitter(DEFAULT_RETRY_AFTER) else null
        return Outcome.Refused(
            reason,
            Execution.NOT_RUN,
            submissionRan = false,
            retryAfter = retryAfter,
            detail = detail,
        )
    }

    private fun createFlow(event: EntryEvent.Submitted, id: RequestId, now: Moment): RequestFlow {
        val submission = event.submission
        val service = releaseSync.state.services.getValue(submission.service)
        val requestClass = checkNotNull(releaseSync.state.requestClass(service, submission.requestClass))
        val context = RequestContext(event.exchange, id, service, requestClass, output) { requests.remove(it) }
        val key = submission.idempotencyKey
        val content = submission.content
        return when (val target = requestClass.target) {
            is LatencyTarget.Stream ->
                GenerationFlow(
                    components,
                    context,
                    withDefaultModel(content as RequestContent.Generation, service),
                    target,
                    now,
                )
            is LatencyTarget.Answer -> {
                val plain = content as RequestContent.Plain
                if (requestClass.idempotent || key == null) {
                    IdempotentCallFlow(components, context, plain, key, target, now)
                } else {
                    NonIdempotentCallFlow(components, context, plain, key, target, now)
                }
            }
        }
    }

    /** Fills in the service's model if the caller named only the service, since engines expect a model. */
    private fun withDefaultModel(
        content: RequestContent.Generation,
        service: ReleaseEntry.Service,
    ): RequestContent.Generation = content.copy(model = content.model ?: service.model)

    private fun onReceived(event: EntryEvent.Received, now: Moment) {
        val link = links.ofConnection(event.connection) ?: return
        links.heard(link, now)
        val message = event.envelope.message
        onPeerMessage(link, message, now)
        if (message is PeerMessage.Loads || message is PeerMessage.Notes) compareRelease(link, event.envelope.release)
    }

    private fun compareRelease(link: CompanionLink, version: ReleaseVersion) {
        releaseSync.onPeerRelease(version)
        if (releaseSync.isBehind(version)) links.send(link, PeerMessage.FetchNotes(release))
    }

    private fun onPeerMessage(link: CompanionLink, message: PeerMessage, now: Moment) {
        when (message) {
            is PeerMessage.Granted -> forwardToAttempt(message.attempt, message, now)
            is PeerMessage.Refused -> forwardToAttempt(message.attempt, message, now)
            is PeerMessage.PrefillReady -> forwardToAttempt(message.attempt, message, now)
            is PeerMessage.TokenProduced -> forwardToAttempt(message.attempt, message, now)
            is PeerMessage.DecodeFinished -> forwardToAttempt(message.attempt, message, now)
            is PeerMessage.PlainFinished -> forwardToAttempt(message.attempt, message, now)
            is PeerMessage.AttemptFailed -> forwardToAttempt(message.attempt, message, now)
            is PeerMessage.ClaimStatus -> onClaimStatus(link, message, now)
            is PeerMessage.Loads -> message.loads.forEach { table.recordLoad(it, now) }
            is PeerMessage.Leaving -> links.markLeaving(link)
            is PeerMessage.Notes -> releaseSync.applyNotes(message.notes, now)
            is PeerMessage.FetchNotes -> links.send(link, PeerMessage.Notes(releaseSync.notesAfter(message.after)))
            is PeerMessage.Hello, is PeerMessage.Welcome, is PeerMessage.Heartbeat, is PeerMessage.Reserve,
            is PeerMessage.StartPrefill, is PeerMessage.StartDecode, is PeerMessage.StartPlain,
            is PeerMessage.Cancel, is PeerMessage.VoidClaim, is PeerMessage.FollowClaim,
            -> Unit
        }
    }

    /** Passes a message to the listener of its attempt; ignores messages about attempts that have ended. */
    private fun forwardToAttempt(id: AttemptId, message: PeerMessage, now: Moment) {
        val attempt = attempts[id] ?: return
        attempt.listener.onMessage(attempt, message, now)
    }

    private fun onClaimStatus(link: CompanionLink, message: PeerMessage.ClaimStatus, now: Moment) {
        val claim = WatchedClaim(link.host, message.storeKey, message.number)
        nonIdempotentCalls().filter { it.watchedClaim == claim }.forEach { it.onClaimStatus(message, now) }
    }

    private fun nonIdempotentCalls(): List<NonIdempotentCallFlow> =
        requests.values.filterIsInstance<NonIdempotentCallFlow>()

    override fun linkUp(link: CompanionLink, now: Moment) {
        link.welcome?.loads?.forEach { table.recordLoad(it, now) }
        nonIdempotentCalls().forEach { it.onConnected(link, now) }
    }

    override fun linkDown(link: CompanionLink, connection: ConnectionId, fault: Fault, now: Moment) {
        attempts.onConnectionLost(connection, fault, now)
    }

    private fun onReleaseApplied(state: ReleaseState, now: Moment) {
        table.applyRelease(state)
        links.apply(state, now, attempts::hasAttemptsAt)
        if (state.version.number == 1L) output.record(EventDraft(EventKind.PROCESS_READY))
    }

    private fun startDraining() {
        if (draining) return
        draining = true
        output.record(EventDraft(EventKind.PROCESS_DRAINING))
    }

    private fun exitIfDrained() {
        if (!draining || hasExited || requests.isNotEmpty()) return
        hasExited = true
        output.record(EventDraft(EventKind.PROCESS_STOPPED))
        output.add(EntryEffect.Exit)
    }

    private companion object {
        const val ID_RADIX = 36
    }
}
