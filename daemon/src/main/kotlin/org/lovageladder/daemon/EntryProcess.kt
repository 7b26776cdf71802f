package org.lovageladder.daemon

import org.lovageladder.core.AcceptedNote
import org.lovageladder.core.ConnectionId
import org.lovageladder.core.EntryEffect
import org.lovageladder.core.EntryEvent
import org.lovageladder.core.EntryStatus
import org.lovageladder.core.Envelope
import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.ExchangeId
import org.lovageladder.core.Fault
import org.lovageladder.core.HostName
import org.lovageladder.core.HybridTime
import org.lovageladder.core.Moment
import org.lovageladder.core.PEER_PROTOCOL
import org.lovageladder.core.PeerMessage
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.Submission
import org.lovageladder.core.entryDecisions
import org.lovageladder.http.CallerHandler
import org.lovageladder.http.startAdminServer
import org.lovageladder.http.startCallerServer
import org.lovageladder.peer.DialerHandler
import org.lovageladder.peer.openPeerDialer

/** Starts an entry; throws [AddressUnavailable] when it cannot bind an address. */
internal fun startEntry(settings: EntryProcessSettings): RunningProcess = EntryProcess(settings)

/** Connects the decisions of an entry with callers, companions, the key-value service and the host list. */
private class EntryProcess(private val settings: EntryProcessSettings) : RunningProcess {
    private val decisions = entryDecisions(settings.decisions)
    private val components = ProcessComponents(settings.decisions.process, settings.process)
    private val requestMeters = RequestMeters(components.registry)
    private val control = ControlThread(
        StateMachineAdapter(),
        ControlMeters(components.registry),
        components.termination::onControlThreadFailure,
    )
    private val noteWatcher = NoteWatcher(components.store, components.timer, EntryNoteListener())
    private val dialer = openPeerDialer(handler = CompanionConnectionHandler())
    private val callerServer =
        listenOn("--listen", settings.callerAddress) {
            startCallerServer(
                bind = settings.callerAddress,
                handler = EntryCallerHandler(),
                registry = components.registry,
                threads = components.threads,
            )
        }
    private val adminServer =
        listenOn("--admin", settings.process.admin) {
            val adminHandler = ProcessAdmin(components.state, components.ring, ::statusJson, ::requestStop)
            startAdminServer(settings.process.admin, adminHandler, components.registry, components.threads)
        }

    override val traffic = callerServer.address
    override val admin = adminServer.address

    init {
        control.start(EntryEvent.TimePassed)
        components.pollHostList { control.post(EntryEvent.HostsListed(it)) }
    }

    override fun requestStop() {
        components.termination.requestStop {
            callerServer.drain()
            control.post(EntryEvent.StopRequested)
        }
    }

    override fun awaitEnd(): ProcessEnd = components.termination.await()

    override fun close() {
        noteWatcher.close()
        control.close()
        callerServer.close()
        dialer.close()
        adminServer.close()
        components.close()
    }

    private fun statusJson(): String? = control.query { decisions.status(monotonicNow()) }
        ?.let { statusText("entry", settings.decisions.process, EntryStatus.serializer(), it) }

    private inner class StateMachineAdapter : StateMachine<EntryEvent> {
        override val timePassed: EntryEvent = EntryEvent.TimePassed

        override fun handle(event: EntryEvent, now: Moment) {
            recordMetrics(event, now)
            decisions.handle(event, now).forEach { effect -> performEffect(effect, now) }
            components.state.ready = decisions.isReady
            components.state.release = decisions.release
        }

        override fun observe(clock: HybridTime): Unit = components.clock.observe(clock)

        override fun nextDeadline(): Moment? = decisions.nextDeadline()
    }

    private fun recordMetrics(event: EntryEvent, now: Moment) {
        if (event is EntryEvent.Submitted) requestMeters.onSubmitted(event.exchange, event.submission, now)
        if (event is EntryEvent.CallerDisconnected) requestMeters.onCallerDisconnected(event.exchange, now)
    }

    private fun performEffect(effect: EntryEffect, now: Moment) {
        when (effect) {
            is EntryEffect.SendToken -> callerServer.sendToken(effect.exchange, effect.index, effect.text)
            is EntryEffect.SendOutcome -> {
                requestMeters.onOutcome(effect.exchange, effect.outcome, now)
                callerServer.sendOutcome(effect.exchange, effect.request, effect.outcome)
            }
            is EntryEffect.Connect -> dialer.dial(effect.connection, effect.host, effect.address, hello(effect.host))
            is EntryEffect.Disconnect -> dialer.close(effect.connection)
            is EntryEffect.Send -> dialer.send(effect.connection, envelopeOf(effect.message))
            is EntryEffect.CallStore ->
                components.store.call(effect.request, effect.timeout) { answer ->
                    control.post(EntryEvent.StoreAnswered(effect.callNumber, answer))
                }
            is EntryEffect.WatchNotes -> noteWatcher.setEnabled(effect.watching)
            is EntryEffect.Record -> components.recordEvent(effect.event)
            is EntryEffect.Exit -> components.termination.finished()
        }
    }

    private fun envelopeOf(message: PeerMessage): Envelope =
        Envelope(decisions.release, components.clock.next(), message)

    private fun hello(host: HostName): Envelope = envelopeOf(
        PeerMessage.Hello(
            protocol = PEER_PROTOCOL,
            process = settings.decisions.process,
            incarnation = settings.decisions.incarnation,
            expectedHost = host,
        ),
    )

    private inner class EntryCallerHandler : CallerHandler {
        override fun onSubmission(exchange: ExchangeId, submission: Submission): Unit =
            control.post(EntryEvent.Submitted(exchange, submission))

        override fun onCallerDisconnected(exchange: ExchangeId): Unit =
            control.post(EntryEvent.CallerDisconnected(exchange))
    }

    private inner class CompanionConnectionHandler : DialerHandler {
        override fun connected(connection: ConnectionId, envelope: Envelope, welcome: PeerMessage.Welcome): Unit =
            control.post(EntryEvent.Connected(connection, welcome), envelope.clock)

        override fun received(connection: ConnectionId, envelope: Envelope): Unit =
            control.post(EntryEvent.Received(connection, envelope), envelope.clock)

        override fun lost(connection: ConnectionId, host: HostName, fault: Fault): Unit =
            control.post(EntryEvent.Disconnected(connection, host, fault))

        override fun rejected(kind: EventKind, fault: Fault): Unit =
            control.execute { components.recordEvent(EventDraft(kind, detail = fault.toString())) }
    }

    private inner class EntryNoteListener : NoteListener {
        override val release: ReleaseVersion get() = components.state.release

        override fun onNote(note: AcceptedNote): Unit = control.post(EntryEvent.NoteReceived(note))

        override fun onUnreadableNote(key: String): Unit =
            control.execute { components.recordEvent(EventDraft(EventKind.NOTE_UNREADABLE, detail = key)) }
    }
}
