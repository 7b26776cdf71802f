package org.lovageladder.core

import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val HOST = HostName("host-a")
internal val OTHER_HOST = HostName("host-b")
internal val PLACE = PlaceName("place-a")
internal val DECODE = UpstreamName("decode-a")
internal val PREFILL = UpstreamName("prefill-a")
internal val PLAIN = UpstreamName("plain-a")
internal val INCARNATION = Incarnation(7)
internal val ENTRY = ConnectionId(1)
internal val OTHER_ENTRY = ConnectionId(2)
internal const val DECODE_PIECES = 10

/** Companion under test with a virtual clock and all effects that it returned. */
internal class CompanionHarness(
    val settings: CompanionSettings = CompanionSettings(ProcessName("companion-a"), HOST, PLACE, INCARNATION),
) {
    val companion = companionDecisions(settings)
    var now = Moment(0)
        private set
    val effects = ArrayList<CompanionEffect>()

    fun handle(event: CompanionEvent): List<CompanionEffect> {
        val newEffects = companion.handle(event, now)
        effects += newEffects
        val next = companion.nextDeadline()
        check(next == null || next > now) { "overdue deadline at $now: $next" }
        return newEffects
    }

    /** Advances the clock by [duration], handles each deadline on the way and returns all effects of that time. */
    fun advanceTime(duration: Duration): List<CompanionEffect> {
        val end = now + duration
        val firstNewEffect = effects.size
        while (true) {
            val next = companion.nextDeadline() ?: break
            if (next > end) break
            now = maxOf(now, next)
            handle(CompanionEvent.TimePassed)
        }
        now = end
        handle(CompanionEvent.TimePassed)
        return effects.drop(firstNewEffect)
    }

    /** Advances the clock by [duration] without running the process, as when it is suspended and resumed. */
    fun suspendFor(duration: Duration) {
        now += duration
    }

    fun receive(message: PeerMessage, connection: ConnectionId = ENTRY): List<CompanionEffect> =
        handle(CompanionEvent.Received(connection, envelope(message)))

    fun connect(connection: ConnectionId = ENTRY, process: String = "entry-${connection.number}") =
        handle(CompanionEvent.Connected(connection, hello(process)))

    fun disconnect(connection: ConnectionId = ENTRY) = handle(
        CompanionEvent.Disconnected(connection, Fault(Step.CONNECT, "entry", FaultCause.CONNECTION_LOST)),
    )

    fun report(attempt: AttemptId, report: UpstreamReport) = handle(CompanionEvent.CallReported(attempt, report))

    /** Makes the companion ready, with [notes] in the store and no calls running on its engines. */
    fun makeReady(notes: List<AcceptedNote> = listOf(firstNote())): CompanionHarness {
        answerStore(handle(CompanionEvent.TimePassed), found(notes))
        for (listing in effects.filterIsInstance<CompanionEffect.ListRunning>()) {
            handle(CompanionEvent.RunningListed(listing.upstream.name, emptyList()))
        }
        check(companion.isReady) { "not ready: ${companion.status(now)}" }
        effects.clear()
        return this
    }

    /** Answers each call of the key-value service among [requested]. */
    fun answerStore(requested: List<CompanionEffect>, answer: StoreAnswer): List<CompanionEffect> =
        requested.filterIsInstance<CompanionEffect.CallStore>()
            .flatMap { handle(CompanionEvent.StoreAnswered(it.callNumber, answer)) }

    fun load(upstream: UpstreamName): UpstreamLoad = companion.status(now).loads.first { it.upstream == upstream }

    private fun envelope(message: PeerMessage) = Envelope(companion.release, HybridTime(0, 0), message)
}

internal fun hello(process: String) =
    PeerMessage.Hello(PEER_PROTOCOL, ProcessName(process), Incarnation(1), HOST, INCARNATION)

internal fun attempt(number: Int, request: String = "request") = AttemptId(RequestId(request), number)

internal fun found(notes: List<AcceptedNote>) = StoreAnswer.Found(
    notes.map {
        StoredEntry(noteStoreKey(it.version), Json.encodeToString(AcceptedNote.serializer(), it), it.version.number)
    },
)

internal fun unavailable() = StoreAnswer.Unavailable(Fault(Step.STORE, "store", FaultCause.TIMEOUT))

internal val DECODE_ENTRY = ReleaseEntry.Upstream(
    DECODE,
    PoolName("decode"),
    HOST,
    Address("127.0.0.1", 9001),
    pieces = DECODE_PIECES,
    runningLimit = 4,
)
internal val PREFILL_ENTRY =
    ReleaseEntry.Upstream(PREFILL, PoolName("prefill"), HOST, Address("127.0.0.1", 9002), runningLimit = 1)
internal val PLAIN_ENTRY =
    ReleaseEntry.Upstream(PLAIN, PoolName("plain"), HOST, Address("127.0.0.1", 9003), runningLimit = 2)

internal fun firstNote() = note(
    1,
    added = listOf(
        ReleaseEntry.Host(HOST, PLACE, HostRole.COMPANION, Address("127.0.0.1", 9100), Address("127.0.0.1", 9101)),
        ReleaseEntry.Pool(PoolName("decode"), PoolRole.DECODE),
        ReleaseEntry.Pool(PoolName("prefill"), PoolRole.PREFILL),
        ReleaseEntry.Pool(PoolName("plain"), PoolRole.PLAIN),
        DECODE_ENTRY,
        PREFILL_ENTRY,
        PLAIN_ENTRY,
    ),
)

internal fun note(
    version: Long,
    added: List<ReleaseEntry> = emptyList(),
    changed: List<ReleaseEntry> = emptyList(),
    withdrawn: List<EntryKey> = emptyList(),
) = AcceptedNote(
    ReleaseVersion(version),
    ReleaseNote(NoteId("note-$version"), ReleaseVersion(version - 1), "operator", added, changed, withdrawn),
)

internal val GENERATION = RequestContent.Generation("/v1/completions", "{}", 1000, 100, 0)
internal val PLAIN_CONTENT = RequestContent.Plain("POST", "/act", null, "", "digest")
internal val TICKET = TransferTicket("{}", 1000, 800.milliseconds)
internal val ANSWER = PlainAnswer(200, "text/plain", "done")

internal fun reserve(
    attempt: AttemptId,
    pieces: Int = 1,
    worth: Double = 1.0,
    waitAtMost: Duration = 1.seconds,
    holdAtMost: Duration = 2.seconds,
) = PeerMessage.Reserve(attempt, DECODE, pieces, worth, 0, waitAtMost, holdAtMost)

internal fun startDecode(attempt: AttemptId, fromIndex: Int = 0) =
    PeerMessage.StartDecode(attempt, GENERATION, 100, 0, TICKET, fromIndex)

internal fun startPrefill(
    attempt: AttemptId,
    tokens: Int = 1000,
    worth: Double = 1.0,
    finishWithin: Duration = 1.seconds,
) = PeerMessage.StartPrefill(attempt, PREFILL, GENERATION.copy(promptTokens = tokens), 100, 0, worth, finishWithin)

internal fun startPlain(attempt: AttemptId, claim: ClaimTicket? = null, startWithin: Duration = 1.seconds) =
    PeerMessage.StartPlain(
        attempt,
        PLAIN,
        PLAIN_CONTENT,
        claim,
        claim?.let {
            IdempotencyKey("key")
        },
        0,
        1.0,
        startWithin,
    )

internal fun claim(
    number: Long = 1,
    key: String = "claims/service/key",
    host: HostName = HOST,
    incarnation: Incarnation = INCARNATION,
) = ClaimTicket(key, number, 40 + number, ClaimRecord("digest", number, host, incarnation, RequestId("request")))

internal fun failed(cause: FaultCause, execution: Execution = Execution.UNKNOWN) =
    UpstreamReport.Failed(Fault(Step.DECODE, "upstream", cause), execution)

/** Messages sent by these effects, in order. */
internal fun List<CompanionEffect>.messages(connection: ConnectionId? = null): List<PeerMessage> =
    filterIsInstance<CompanionEffect.Send>().filter {
        connection == null || it.connection == connection
    }.map { it.message }

internal inline fun <reified T : PeerMessage> List<CompanionEffect>.sent(): List<T> = messages().filterIsInstance<T>()

internal fun List<CompanionEffect>.recorded(): List<EventKind> =
    filterIsInstance<CompanionEffect.Record>().map { it.event.kind }
