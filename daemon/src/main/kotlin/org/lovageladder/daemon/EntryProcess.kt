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

/** Starts an entry; throws [AddressUnavailable] when it cannot listen. */
internal fun startEntry(settings: EntryProcessSettings): RunningProcess = EntryProcess(settings)

/** Connects the decisions of an entry with its callers, companions and the platform. */
private class EntryProcess(private val settings: EntryProcessSettings) : RunningProcess {
    private val decisions = entryDecisions(settings.decisions)
    private val parts = ProcessParts(settings.decisions.process, settings.process)
    private val requestMeters = RequestMeters(parts.registry)
    private val control = ControlThread(Machine(), ControlMeters(parts.registry), parts.ending::failed)
    private val noteWatch = NoteWatch(parts.store, parts.timer, Notes())
    private val dialer = openPeerDialer(handler = Companions())
    private val callers =
        listenOn("--listen", settings.callers) {
            startCallerServer(
                bind = settings.callers,
                handler = Callers(),
                registry = parts.registry,
                threads = parts.threads,
            )
        }
    private val adminServer =
        listenOn("--admin", settings.process.admin) {
            val operators = ProcessAdmin(parts.state, parts.ring, ::statusJson, ::requestStop)
            startAdminServer(settings.process.admin, operators, parts.registry, parts.threads)
        }

    override val traffic = callers.address
    override val admin = adminServer.address

    init {
        control.start(EntryEvent.TimePassed)
        parts.pollHostList { control.post(EntryEvent.HostsListed(it)) }
    }

    override fun requestStop() {
        parts.ending.requestStop {
            callers.drain()
            control.post(EntryEvent.StopRequested)
        }
    }

    override fun awaitEnd(): ProcessEnd = parts.ending.await()

    override fun close() {
        noteWatch.close()
        control.close()
        callers.close()
        dialer.close()
        adminServer.close()
        parts.close()
    }

    private fun statusJson(): String? = control.ask { decisions.status(monotonicNow()) }
        ?.let { statusText("entry", settings.decisions.process, EntryStatus.serializer(), it) }

    private inner class Machine : ControlledMachine<EntryEvent> {
        override val timePassed: EntryEvent = EntryEvent.TimePassed

        override fun handle(event: EntryEvent, now: Moment) {
            meter(event, now)
            decisions.handle(event, now).forEach { effect -> carryOut(effect, now) }
            parts.state.ready = decisions.ready
            parts.state.release = decisions.release
        }

        override fun observe(clock: HybridTime): Unit = parts.clock.observe(clock)

        override fun nextDeadline(): Moment? = decisions.nextDeadline()
    }

    private fun meter(event: EntryEvent, now: Moment) {
        if (event is EntryEvent.Submitted) requestMeters.submitted(event.exchange, event.submission, now)
        if (event is EntryEvent.CallerLeft) requestMeters.left(event.exchange, now)
    }

    private fun carryOut(effect: EntryEffect, now: Moment) {
        when (effect) {
            is EntryEffect.GiveToken -> callers.giveToken(effect.exchange, effect.index, effect.text)
            is EntryEffect.GiveOutcome -> {
                requestMeters.ended(effect.exchange, effect.outcome, now)
                callers.giveOutcome(effect.exchange, effect.request, effect.outcome)
            }
            is EntryEffect.Connect -> dialer.dial(effect.connection, effect.host, effect.address, hello(effect.host))
            is EntryEffect.Disconnect -> dialer.close(effect.connection)
            is EntryEffect.Send -> dialer.send(effect.connection, enveloped(effect.message))
            is EntryEffect.AskStore ->
                parts.store.call(effect.request, effect.timeout) { answer ->
                    control.post(EntryEvent.StoreAnswered(effect.ticket, answer))
                }
            is EntryEffect.WatchNotes -> noteWatch.watch(effect.watching)
            is EntryEffect.Record -> parts.record(effect.event)
            is EntryEffect.Exit -> parts.ending.finished()
        }
    }

    private fun enveloped(message: PeerMessage): Envelope = Envelope(decisions.release, parts.clock.next(), message)

    private fun hello(host: HostName): Envelope = enveloped(
        PeerMessage.Hello(
            protocol = PEER_PROTOCOL,
            process = settings.decisions.process,
            incarnation = settings.decisions.incarnation,
            expectedHost = host,
        ),
    )

    private inner class Callers : CallerHandler {
        override fun submitted(exchange: ExchangeId, submission: Submission): Unit =
            control.post(EntryEvent.Submitted(exchange, submission))

        override fun left(exchange: ExchangeId): Unit = control.post(EntryEvent.CallerLeft(exchange))
    }

    private inner class Companions : DialerHandler {
        override fun connected(connection: ConnectionId, envelope: Envelope, welcome: PeerMessage.Welcome): Unit =
            control.post(EntryEvent.Connected(connection, welcome), envelope.clock)

        override fun received(connection: ConnectionId, envelope: Envelope): Unit =
            control.post(EntryEvent.Received(connection, envelope), envelope.clock)

        override fun lost(connection: ConnectionId, host: HostName, fault: Fault): Unit =
            control.post(EntryEvent.Disconnected(connection, host, fault))

        override fun rejected(kind: EventKind, fault: Fault): Unit =
            control.execute { parts.record(EventDraft(kind, detail = fault.toString())) }
    }

    private inner class Notes : NoteReader {
        override val release: ReleaseVersion get() = parts.state.release

        override fun seen(note: AcceptedNote): Unit = control.post(EntryEvent.NoteSeen(note))

        override fun unreadable(key: String): Unit =
            control.execute { parts.record(EventDraft(EventKind.NOTE_UNREADABLE, detail = key)) }
    }
}
