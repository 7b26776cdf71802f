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
 * Two entries, six companions with their upstreams, the key-value service and callers in virtual time. Only the
 * decisions are production code; everything else is a fake with injectable faults.
 */
internal class SimulatedSystem(seed: Long) {
    val time = VirtualTime()
    val random = Random(seed)
    val oracle = Oracle()
    val store = FakeStore(time)
    val network = Network(time, random)
    private val initialRelease = InitialRelease()
    val upstreams: List<FakeUpstream> =
        initialRelease.upstreams.map { FakeUpstream(it, time, random, oracle) }
    private val upstreamsByHost = upstreams.groupBy { it.entry.host }
    val companions: List<SimulatedCompanion> =
        initialRelease.companionHosts.map { SimulatedCompanion(it, this, upstreamsByHost[it].orEmpty()) }
    val entries: List<SimulatedEntry> = initialRelease.entryHosts.map { SimulatedEntry(it, this) }
    private var lastExchange = 0L
    var publishedVersion: Long = 0
        private set

    init {
        publish(initialRelease.note)
        companions.forEach { it.start() }
        entries.forEach { it.start() }
        advance(3.seconds)
    }

    fun advance(duration: Duration) = time.advance(duration)

    fun submitGeneration(entry: Int, tokens: Int, promptTokens: Int = 100): Caller {
        val number = oracle.callers.size
        val content = RequestContent.Generation("/v1/completions", "g$number", promptTokens, tokens, number.toLong())
        return submit(entry, Submission(ServiceName("report-model"), null, null, content))
    }

    fun submitIdempotentCall(entry: Int): Caller = submit(entry, plainSubmission("lookup", null))

    fun submitNonIdempotentCall(entry: Int, key: Int): Caller =
        submit(entry, plainSubmission("action", IdempotencyKey("key-$key")))

    private fun plainSubmission(requestClass: String, key: IdempotencyKey?): Submission {
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

    fun disconnect(caller: Caller) {
        if (caller.outcome != null || caller.hasLostConnection) return
        caller.hasDisconnected = true
        entries.forEach { it.disconnectCaller(caller) }
    }

    /** Publishes [note] as an operator would, regardless of faults of the key-value service. */
    fun publish(note: ReleaseNote) {
        val version = ReleaseVersion(++publishedVersion)
        val value = Json.encodeToString(AcceptedNote.serializer(), AcceptedNote(version, note))
        store.put(StoreWrite(noteStoreKey(version), value))
    }

    fun publishLookupWorth(worth: Int) {
        val id = NoteId("note-${publishedVersion + 1}")
        publish(ReleaseNote(id, changed = listOf(initialRelease.lookupClass.copy(worth = worth.toDouble()))))
    }

    /** Ends every fault, lets enough time pass for all work to finish, and checks the final state. */
    fun endFaultsAndCheck() {
        store.isDown = false
        store.isSlow = false
        store.hiddenNotes = 0
        store.writeAnswersToLose = 0
        upstreams.forEach {
            it.isStalled = false
            it.slowFactor = 1
            it.answersToDrop = 0
        }
        network.removeFaults()
        repeat(RECOVERY_ROUNDS) {
            (companions + entries).forEach { it.unfreezeAndStart() }
            advance(RECOVERY_ROUND_DURATION)
        }
        oracle.checkAllFinished(upstreams)
        companions.forEach { it.checkNothingHeld(oracle) }
        (companions + entries).forEach { it.checkRelease(oracle, publishedVersion) }
    }

    /** Lists host [leaving] as leaving; [entriesRead] and [companionsRead] say which processes have read the list. */
    fun listHostAsLeaving(leaving: HostName, entriesRead: Boolean = true, companionsRead: Boolean = true) {
        val hosts = listOf(ListedHost(leaving, initialRelease.place, leaving = true))
        upstreamsByHost[leaving].orEmpty().forEach { oracle.setLeaving(it.entry.name, time.now) }
        if (entriesRead) entries.forEach { it.deliver(EntryEvent.HostsListed(hosts)) }
        if (companionsRead) companions.forEach { it.deliver(CompanionEvent.HostsListed(hosts)) }
    }

    fun hostEntry(host: HostName): ReleaseEntry.Host = initialRelease.hosts.first { it.name == host }

    private companion object {
        const val RECOVERY_ROUNDS = 4
        val RECOVERY_ROUND_DURATION = 10.seconds
    }
}
