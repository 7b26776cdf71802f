package org.lovageladder.core

/** Returns the decisions of an entry with the given bounds and periods. */
public fun entryDecisions(settings: EntrySettings): EntryDecisions = EntryMachine(settings)

/**
 * Routes events of an entry to the parts that decide on them: links to companions, the release, and the course of
 * each request.
 */
private class EntryMachine(private val settings: EntrySettings) :
    EntryDecisions,
    LinkListener {
    private val output = EntryOutput()
    private val timers = Timers()
    private val table = UpstreamTable(settings, ::usable, output::record)
    private val links = CompanionLinks(settings, output, timers, this)
    private val attempts = Attempts(links, table)
    private val choice = UpstreamChoice(settings, table)
    private val work = EntryWork(settings, output, timers, attempts, choice, table, links)
    private val notes = EntryRelease(settings, output, timers, ::releaseApplied)
    private val requests = LinkedHashMap<ExchangeId, RequestFlow>()
    private val idPrefix = "${settings.process}-${settings.incarnation.number.toString(ID_RADIX)}"
    private var lastRequest = 0L
    private var lastNow: Moment? = null
    private var draining = false
    private var exited = false

    override val ready: Boolean get() = notes.state.version > ReleaseVersion.NONE && !draining

    override val release: ReleaseVersion get() = notes.state.version

    override fun handle(event: EntryEvent, now: Moment): List<EntryEffect> {
        noticeTime(now)
        when (event) {
            is EntryEvent.Submitted -> submitted(event, now)
            is EntryEvent.CallerLeft -> requests[event.exchange]?.callerLeft(now)
            is EntryEvent.Connected -> links.connected(event.connection, event.welcome, now)
            is EntryEvent.Disconnected -> links.disconnected(event.connection, event.fault, now)
            is EntryEvent.Received -> received(event, now)
            is EntryEvent.StoreAnswered -> output.storeAnswered(event.ticket, event.answer, now)
            is EntryEvent.NoteSeen -> notes.offer(listOf(event.note), now)
            is EntryEvent.HostsListed -> links.hostsListed(event.hosts)
            is EntryEvent.StopRequested -> stop()
            is EntryEvent.TimePassed -> Unit
        }
        timers.runDue(now)
        exitWhenDone()
        return output.take()
    }

    override fun nextDeadline(): Moment? = timers.next()

    override fun status(now: Moment): EntryStatus = EntryStatus(
        ready = ready,
        draining = draining,
        release = release,
        requestsInFlight = requests.size,
        connectedHosts = links.connected.map { it.host },
        upstreams = table.all.map { view(it, now) },
    )

    private fun view(upstream: UpstreamRecord, now: Moment): UpstreamView = UpstreamView(
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
            upstream.onProbation(now) -> UpstreamState.PROBATION
            else -> UpstreamState.SERVING
        }
    }

    private fun usable(upstream: UpstreamRecord): Boolean {
        val link = links.up(upstream.entry.host) ?: return false
        return !link.leaving
    }

    /** Starts the periodic work at the first event, and notices that the process was paused. */
    private fun noticeTime(now: Moment) {
        val previous = lastNow
        lastNow = now
        if (previous == null) {
            output.record(EventDraft(EventKind.PROCESS_STARTED, host = settings.host))
            notes.begin(now)
            links.bootstrap(settings.bootstrap)
            beat(now)
        } else if (now - previous > settings.peerSilenceLimit) {
            notes.woke()
        }
    }

    private fun beat(now: Moment) {
        links.beat(now)
        timers.at(now + settings.heartbeatInterval) { beat(it) }
    }

    private fun submitted(event: EntryEvent.Submitted, now: Moment) {
        val id = RequestId("$idPrefix-${++lastRequest}")
        val refusal = refusalOf(event.submission)?.let { honest(it, event.submission) }
        if (refusal != null) {
            val detail = refusalDetail(refusal)
            output.record(EventDraft(EventKind.REQUEST_REFUSED, request = id, detail = detail))
            output.add(EntryEffect.GiveOutcome(event.exchange, id, refusal))
            return
        }
        val flow = flowOf(event, id, now)
        requests[event.exchange] = flow
        output.record(EventDraft(EventKind.REQUEST_ACCEPTED, request = id, detail = event.submission.service.text))
        flow.begin(now)
    }

    private fun refusalOf(submission: Submission): Outcome.Refused? {
        val service = notes.state.services[submission.service]
        val requestClass = service?.let { notes.state.requestClass(it, submission.requestClass) }
        return when {
            draining -> notRun(RefusalReason.LEAVING, "this entry is leaving", retry = true)
            !ready -> notRun(RefusalReason.NOT_READY, "no release note is in force here yet", retry = true)
            notes.stale -> notRun(RefusalReason.NOT_READY, "this entry was paused and is refreshing", retry = true)
            service == null -> notRun(RefusalReason.UNKNOWN_SERVICE, "no service ${submission.service}")
            requestClass == null ->
                notRun(RefusalReason.UNKNOWN_CLASS, "service ${service.name} has no class ${submission.requestClass}")
            else -> contentRefusal(submission, service, requestClass)
        }
    }

    /** A submission with a key may repeat one that ran: of the action itself nothing is known here. */
    private fun honest(refused: Outcome.Refused, submission: Submission): Outcome.Refused =
        if (submission.idempotencyKey == null) refused else refused.copy(execution = Execution.UNKNOWN)

    private fun contentRefusal(
        submission: Submission,
        service: ReleaseEntry.Service,
        requestClass: ReleaseEntry.RequestClass,
    ): Outcome.Refused? {
        val generation = submission.content is RequestContent.Generation
        return when {
            generation != (requestClass.target is LatencyTarget.Stream) ->
                notRun(RefusalReason.WRONG_CONTENT, "service ${service.name} does not take this kind of request")
            !requestClass.idempotent && submission.idempotencyKey == null ->
                notRun(RefusalReason.KEY_MISSING, "class ${requestClass.name} needs an Idempotency-Key")
            else -> null
        }
    }

    private fun notRun(reason: RefusalReason, detail: String, retry: Boolean = false): Outcome.Refused {
        val retryAfter = if (retry) work.spread(DEFAULT_RETRY_AFTER) else null
        return Outcome.Refused(
            reason,
            Execution.NOT_RUN,
            submissionRan = false,
            retryAfter = retryAfter,
            detail = detail,
        )
    }

    private fun flowOf(event: EntryEvent.Submitted, id: RequestId, now: Moment): RequestFlow {
        val submission = event.submission
        val service = notes.state.services.getValue(submission.service)
        val requestClass = checkNotNull(notes.state.requestClass(service, submission.requestClass))
        val context = RequestContext(event.exchange, id, service, requestClass, output) { requests.remove(it) }
        val key = submission.idempotencyKey
        val content = submission.content
        return when (val target = requestClass.target) {
            is LatencyTarget.Stream ->
                GenerationFlow(work, context, forEngine(content as RequestContent.Generation, service), target, now)
            is LatencyTarget.Answer -> {
                val plain = content as RequestContent.Plain
                if (requestClass.idempotent || key == null) {
                    LookupFlow(work, context, plain, key, target, now)
                } else {
                    ActionFlow(work, context, plain, key, target, now)
                }
            }
        }
    }

    /** Callers may name the service where engines expect the model. */
    private fun forEngine(
        content: RequestContent.Generation,
        service: ReleaseEntry.Service,
    ): RequestContent.Generation = content.copy(model = content.model ?: service.model)

    private fun received(event: EntryEvent.Received, now: Moment) {
        val link = links.ofConnection(event.connection) ?: return
        links.heard(link, now)
        val message = event.envelope.message
        message(link, message, now)
        if (message is PeerMessage.Loads || message is PeerMessage.Notes) compare(link, event.envelope.release)
    }

    private fun compare(link: CompanionLink, version: ReleaseVersion) {
        notes.peerKnows(version)
        if (notes.behind(version)) links.send(link, PeerMessage.FetchNotes(release))
    }

    private fun message(link: CompanionLink, message: PeerMessage, now: Moment) {
        when (message) {
            is PeerMessage.Granted -> ofAttempt(message.attempt, message, now)
            is PeerMessage.Refused -> ofAttempt(message.attempt, message, now)
            is PeerMessage.PrefillReady -> ofAttempt(message.attempt, message, now)
            is PeerMessage.TokenProduced -> ofAttempt(message.attempt, message, now)
            is PeerMessage.DecodeFinished -> ofAttempt(message.attempt, message, now)
            is PeerMessage.PlainFinished -> ofAttempt(message.attempt, message, now)
            is PeerMessage.AttemptFailed -> ofAttempt(message.attempt, message, now)
            is PeerMessage.ClaimStatus -> claimStatus(link, message, now)
            is PeerMessage.Loads -> message.loads.forEach { table.learn(it, now) }
            is PeerMessage.Leaving -> links.markLeaving(link)
            is PeerMessage.Notes -> notes.offer(message.notes, now)
            is PeerMessage.FetchNotes -> links.send(link, PeerMessage.Notes(notes.after(message.after)))
            is PeerMessage.Hello, is PeerMessage.Welcome, is PeerMessage.Heartbeat, is PeerMessage.Reserve,
            is PeerMessage.StartPrefill, is PeerMessage.StartDecode, is PeerMessage.StartPlain,
            is PeerMessage.Cancel, is PeerMessage.VoidClaim, is PeerMessage.FollowClaim,
            -> Unit
        }
    }

    /** Hands a report to the owner of its attempt; reports on attempts that ended are ignored. */
    private fun ofAttempt(id: AttemptId, message: PeerMessage, now: Moment) {
        val attempt = attempts[id] ?: return
        attempt.owner.received(attempt, message, now)
    }

    private fun claimStatus(link: CompanionLink, message: PeerMessage.ClaimStatus, now: Moment) {
        val claim = WatchedClaim(link.host, message.storeKey, message.number)
        actions().filter { it.watched == claim }.forEach { it.claimStatus(message, now) }
    }

    private fun actions(): List<ActionFlow> = requests.values.filterIsInstance<ActionFlow>()

    override fun linkUp(link: CompanionLink, now: Moment) {
        link.welcome?.loads?.forEach { table.learn(it, now) }
        actions().forEach { it.linkUp(link, now) }
    }

    override fun linkDown(link: CompanionLink, connection: ConnectionId, fault: Fault, now: Moment) {
        attempts.connectionLost(connection, fault, now)
    }

    private fun releaseApplied(state: ReleaseState, now: Moment) {
        table.apply(state)
        links.apply(state, now, attempts::runsOn)
        if (state.version.number == 1L) output.record(EventDraft(EventKind.PROCESS_READY))
    }

    private fun stop() {
        if (draining) return
        draining = true
        output.record(EventDraft(EventKind.PROCESS_DRAINING))
    }

    private fun exitWhenDone() {
        if (!draining || exited || requests.isNotEmpty()) return
        exited = true
        output.record(EventDraft(EventKind.PROCESS_STOPPED))
        output.add(EntryEffect.Exit)
    }

    private companion object {
        const val ID_RADIX = 36
    }
}
