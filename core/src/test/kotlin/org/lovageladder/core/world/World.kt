package org.lovageladder.core.world

import kotlinx.serialization.json.Json
import org.lovageladder.core.AcceptedNote
import org.lovageladder.core.ClassName
import org.lovageladder.core.CompanionEvent
import org.lovageladder.core.EntryEvent
import org.lovageladder.core.ExchangeId
import org.lovageladder.core.HostName
import org.lovageladder.core.IdempotencyKey
import org.lovageladder.core.ListedHost
import org.lovageladder.core.NoteId
import org.lovageladder.core.ReleaseEntry
import org.lovageladder.core.ReleaseNote
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.RequestContent
import org.lovageladder.core.ServiceName
import org.lovageladder.core.StoreWrite
import org.lovageladder.core.Submission
import org.lovageladder.core.noteStoreKey
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Two entries, six companions with their upstreams, the key-value service and callers, all under virtual time. Only
 * the decisions are real; everything around them is a fake that shows faults on demand.
 */
internal class World(seed: Long) {
    val time = VirtualTime()
    val random = Random(seed)
    val oracle = Oracle()
    val store = FakeStore(time)
    val network = Network(time, random)
    private val fleet = FleetRelease()
    val upstreams: List<FakeUpstream> =
        fleet.upstreams.map { FakeUpstream(it, time, random, oracle) }
    private val upstreamsByHost = upstreams.groupBy { it.entry.host }
    val companions: List<CompanionProcess> =
        fleet.companionHosts.map { CompanionProcess(it, this, upstreamsByHost[it].orEmpty()) }
    val entries: List<EntryProcess> = fleet.entryHosts.map { EntryProcess(it, this) }
    private var lastExchange = 0L
    var published: Long = 0
        private set

    init {
        publish(fleet.note)
        companions.forEach { it.boot() }
        entries.forEach { it.boot() }
        advance(3.seconds)
    }

    fun advance(duration: Duration) = time.advance(duration)

    fun generation(entry: Int, tokens: Int, promptTokens: Int = 100): Caller {
        val number = oracle.callers.size
        val content = RequestContent.Generation("/v1/completions", "g$number", promptTokens, tokens, number.toLong())
        return submit(entry, Submission(ServiceName("report-model"), null, null, content))
    }

    fun lookup(entry: Int): Caller = submit(entry, plain("lookup", null))

    fun action(entry: Int, key: Int): Caller = submit(entry, plain("action", IdempotencyKey("key-$key")))

    private fun plain(requestClass: String, key: IdempotencyKey?): Submission {
        val body = key?.text ?: "lookup-${oracle.callers.size}"
        val content = RequestContent.Plain("POST", "/", null, body, body)
        return Submission(ServiceName("desk"), ClassName(requestClass), key, content)
    }

    private fun submit(entry: Int, submission: Submission): Caller {
        val caller = Caller(oracle.callers.size, submission, time.now)
        oracle.callers += caller
        entries[entry % entries.size].submit(ExchangeId(++lastExchange), caller)
        return caller
    }

    fun leave(caller: Caller) {
        if (caller.outcome != null || caller.connectionLost) return
        caller.left = true
        entries.forEach { it.callerLeft(caller) }
    }

    /** Publishes [note] in the name of an operator, past every fault of the key-value service. */
    fun publish(note: ReleaseNote) {
        val version = ReleaseVersion(++published)
        val value = Json.encodeToString(AcceptedNote.serializer(), AcceptedNote(version, note))
        store.put(StoreWrite(noteStoreKey(version), value))
    }

    fun publishWorth(worth: Int) {
        val id = NoteId("note-${published + 1}")
        publish(ReleaseNote(id, changed = listOf(fleet.lookupClass.copy(worth = worth.toDouble()))))
    }

    /** Ends every fault and lets enough time pass for all work to end. */
    fun settle() {
        store.down = false
        store.slow = false
        store.hiddenNotes = 0
        store.answersToLose = 0
        upstreams.forEach {
            it.stalled = false
            it.slowFactor = 1
            it.answersToDrop = 0
        }
        network.heal()
        repeat(SETTLE_ROUNDS) {
            (companions + entries).forEach { it.recover() }
            advance(SETTLE_ROUND)
        }
        oracle.settled(upstreams)
        companions.forEach { it.checkSettled(oracle) }
        (companions + entries).forEach { it.checkRelease(oracle, published) }
    }

    /** The platform lists [leaving] as leaving; [entriesRead] and [companionsRead] tell who has read it yet. */
    fun hostsListed(leaving: HostName, entriesRead: Boolean = true, companionsRead: Boolean = true) {
        val hosts = listOf(ListedHost(leaving, fleet.place, leaving = true))
        upstreamsByHost[leaving].orEmpty().forEach { oracle.closed(it.entry.name, time.now) }
        if (entriesRead) entries.forEach { it.deliver(EntryEvent.HostsListed(hosts)) }
        if (companionsRead) companions.forEach { it.deliver(CompanionEvent.HostsListed(hosts)) }
    }

    fun entryFor(host: HostName): ReleaseEntry.Host = fleet.hosts.first { it.name == host }

    private companion object {
        const val SETTLE_ROUNDS = 4
        val SETTLE_ROUND = 10.seconds
    }
}
