package org.lovageladder.core.forward

import org.lovageladder.core.EventKind
import org.lovageladder.core.Moment
import org.lovageladder.core.ProcessName
import org.lovageladder.core.RequestId
import org.lovageladder.core.UpstreamName
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Replays prompts with parts that crash every engine which begins to write an answer on them, among sound prompts that
 * share the other parts, in fleets of entries under virtual time.
 */
class PromptQuarantineTest {
    private data class Case(
        val name: String,
        val entryCount: Int,
        val deadlyParts: List<String> = listOf("deadly"),
        val deadlyPerSecond: Double = 2.0,
        val soundPerSecond: Double = 22.0,
        val isKnownBefore: Boolean = false,
        val partsBefore: List<String> = listOf(COMPANION),
        val behaviour: UpstreamBehaviour = UpstreamBehaviour(),
        val trouble: (EntryFleet) -> Unit = {},
    )

    private class RecordingPromptReports : PromptReportPort {
        val all = ArrayList<PromptReport>()

        override fun report(reports: List<PromptReport>, answer: (Boolean) -> Unit) {
            all += reports
            answer(true)
        }

        override fun claimTrials(trials: List<PromptReport.Trial>, answer: (Boolean) -> Unit) = answer(true)
    }

    private class Load(val fleet: EntryFleet, val case: Case) {
        val deadly = ArrayList<Pair<Moment, RecordingReply>>()
        val companions = ArrayList<Pair<Moment, RecordingReply>>()

        /** Submits requests at random times for [duration]. One sound request in five shares the first part. */
        fun run(duration: Duration) {
            val until = fleet.scheduler.now() + duration
            val hasDeadly = case.isKnownBefore || fleet.upstreams.deadlyParts.isNotEmpty()
            val deadlyPerSecond = if (hasDeadly) case.deadlyPerSecond else 0.0
            val perSecond = deadlyPerSecond + case.soundPerSecond
            while (fleet.scheduler.now() < until) {
                fleet.scheduler.advance((2 * fleet.random.nextDouble() / perSecond).seconds)
                submit(isDeadly = fleet.random.nextDouble() * perSecond < deadlyPerSecond)
            }
        }

        private fun submit(isDeadly: Boolean) {
            val now = fleet.scheduler.now()
            if (isDeadly) {
                deadly += now to submit(case.partsBefore + case.deadlyParts[deadly.size % case.deadlyParts.size])
                return
            }
            val isCompanion = fleet.random.nextInt(5) == 0
            val reply = submit(if (isCompanion) listOf(COMPANION) else listOf("part-${fleet.random.nextInt(200)}"))
            if (isCompanion) companions += now to reply
        }

        private fun submit(parts: List<String>): RecordingReply {
            val generation = ForwardFixture.GENERATION.copy(sharedParts = parts.map(::RequestTrait))
            return fleet.submit("/stream-on/x", generation, callerTimeout = 14.seconds)
        }
    }

    @Test
    fun promptsThatCrashEnginesReachNoMoreThanThreeMoreEnginesAfterTheFifthCrash() {
        val cases =
            listOf(1, 2, 4, 30, 100, 300).map { Case("$it entries", it) } +
                listOf(4, 30).flatMap { count ->
                    listOf(
                        Case("two parts, $count entries", count, deadlyParts = listOf("deadly", "deadly-too")),
                        Case("many requests, $count entries", count, deadlyPerSecond = 8.0),
                        Case("a part sound before, $count entries", count, isKnownBefore = true),
                        Case("hosts cut off, $count entries", count, isKnownBefore = true) { fleet -> cutOff(fleet) },
                        Case("few requests, $count entries", count, deadlyPerSecond = 0.3, soundPerSecond = 6.0),
                        Case("ordinary crashes, $count entries", count) { it.crashNowAndThen(DECODES) },
                        Case("all engines crash, $count entries", count) { it.crashAll(DECODES) },
                        Case("restarts of entries, $count entries", count) { it.restartEntries() },
                        Case("frozen entries, $count entries", count) { fleet -> freezeEntries(fleet) },
                    )
                }
        assertPass(cases)
    }

    /** Load pattern: each engine writes some events on a deadly part before it crashes, among streams of seconds. */
    @Test
    fun promptsThatCrashEnginesAmidTheirAnswersReachNoMoreThanThreeMoreEngines() {
        val cases = listOf(1, 4, 30).flatMap { count ->
            fun case(name: String, events: Int): Case {
                val behaviour = UpstreamBehaviour(answerEvents = 60, eventsBeforeCrash = events)
                return Case("$name after $events events, $count entries", count, behaviour = behaviour)
            }
            listOf(0, 1, 3, 20).map { case("crashes", it) } + listOf(1, 20).flatMap { events ->
                listOf(
                    case("two parts", events).copy(deadlyParts = listOf("deadly", "deadly-too")),
                    case("the first part", events).copy(partsBefore = emptyList()),
                    case("the third part", events).copy(partsBefore = listOf(COMPANION, "second")),
                    case("many requests", events).copy(deadlyPerSecond = 8.0),
                    case("a part sound before", events).copy(isKnownBefore = true),
                    case("ordinary crashes", events).copy(trouble = { it.crashNowAndThen(DECODES) }),
                    case("all engines crash", events).copy(trouble = { it.crashAll(DECODES) }),
                )
            } +
                case("sound parts under ordinary crashes", 60).copy(isKnownBefore = true, trouble = {
                    it.crashNowAndThen(DECODES)
                })
        }
        assertPass(cases)
    }

    private fun assertPass(cases: List<Case>) {
        val failures = cases.flatMap { case -> SEEDS.mapNotNull { seed -> check(case, seed) } }
        assertTrue(failures.isEmpty(), failures.joinToString("\n"))
    }

    /** An answer without framing does not show that its engine outlived it. */
    @Test
    fun callersWithAQuarantinedPromptAreRefusedAtOnce() {
        listOf(false, true).forEach { isTrialAnswered ->
            val fixture = ForwardFixture()
            val generation = ForwardFixture.GENERATION.copy(sharedParts = listOf(RequestTrait("deadly")))
            fun submit() = fixture.submit("/stream/x", generation = generation).reply
            fun crash() {
                submit()
                fixture.scheduler.advance(300.milliseconds)
                val call = fixture.upstreams.receivedCalls.last()
                fixture.upstreams.ended += call.attempt.address
                call.head(200)
                call.fail(sent = true)
                fixture.scheduler.advance(30.milliseconds)
            }
            repeat(2) { crash() }
            data class Expected(val after: Duration, val reason: RefusalReason?, val mayReturn: Boolean)
            listOf(
                Expected(Duration.ZERO, RefusalReason.REQUEST_SUSPECTED, mayReturn = true),
                Expected(2.seconds, reason = null, mayReturn = false),
                Expected(Duration.ZERO, RefusalReason.REQUEST_QUARANTINED, mayReturn = false),
                Expected(5.seconds, RefusalReason.REQUEST_QUARANTINED, mayReturn = false),
            ).forEach { expected ->
                fixture.scheduler.advance(expected.after)
                val refusal = submit().refusal
                if (refusal == null && isTrialAnswered) {
                    fixture.scheduler.advance(300.milliseconds)
                    answerUnframedAndCrash(fixture)
                }
                assertEquals(expected.reason, refusal?.reason, "$expected $isTrialAnswered")
                assertEquals(expected.mayReturn, refusal?.retryAfter != null, "$expected")
            }
            assertEquals(2, fixture.upstreams.prefills.size, "a trial is sent once, without a prefill of its own")
        }
    }

    private fun answerUnframedAndCrash(fixture: ForwardFixture) {
        val call = fixture.upstreams.receivedCalls.last()
        fixture.upstreams.ended += call.attempt.address
        call.head(200, endsWithConnection = true)
        call.content("id: 1\ndata: a\n\n")
        call.end()
    }

    @Test
    fun partsOnWhichEnginesWriteAreNotHeldBackWhenEnginesCrash() {
        data class PartCase(val name: String, val events: List<String>, val isQuarantined: Boolean)
        val parts = listOf(RequestTrait("part"))
        listOf(
            PartCase("one crash", listOf("crash a"), false),
            PartCase("two crashes", listOf("crash a", "wait", "crash b"), true),
            PartCase("crashes at the same moment", listOf("crash a", "crash b", "crash c"), false),
            PartCase("the same engine", listOf("crash a", "wait", "crash a"), false),
            PartCase("an answer in between", listOf("crash a", "wait", "written", "wait", "crash b"), false),
            PartCase("an answer afterwards", listOf("crash a", "wait", "crash b", "written"), false),
            PartCase("an answer elsewhere", listOf("crash a", "wait", "crash b", "sound"), false),
            PartCase("quarantined elsewhere", listOf("quarantined"), true),
            PartCase("quarantined elsewhere after an answer", listOf("written", "quarantined"), false),
            PartCase("many crashes", listOf("written") + "abcd".flatMap { listOf("crash $it", "wait") }, true),
            PartCase("an answer that began before", listOf("crash a", "wait", "crash b", "older"), true),
            PartCase("not used for long", listOf("quarantined", "long"), false),
        ).forEach { case ->
            val scheduler = VirtualScheduler()
            val guard = PromptGuard(EntryCounter(ProcessName("entry"), 1), scheduler, eventSink = {}, Random(1))
            val reports = RecordingPromptReports().also(guard::startReports)
            case.events.forEach { event ->
                when (event) {
                    "wait" -> scheduler.advance(300.milliseconds)
                    "long" -> scheduler.advance(11.minutes)
                    "written" -> guard.onOutlived(RequestId("r"), parts)
                    "older" -> guard.onOutlived(RequestId("r"), parts, beganAt = scheduler.now() - 200.milliseconds)
                    "sound" -> guard.onReport(PromptReport.Sound(parts.single()))
                    "quarantined" -> guard.onReport(PromptReport.Quarantined(parts.single()))
                    else -> guard.onCrash(RequestId("r"), parts, EngineStart(UpstreamName(event), startedAt = null))
                }
            }
            guard.removeExpired()
            assertEquals(case.isQuarantined, guard.isQuarantined(parts), case.name)
            scheduler.advance(1.seconds)
            val isCleared = "written" in case.events && case.events.last() in setOf("written", "quarantined")
            assertEquals(isCleared, reports.all.lastOrNull() is PromptReport.Sound, "${case.name}: ${reports.all}")
        }
    }

    @Test
    fun onlyCrashesEarlyInAnAnswerAreEvidence() {
        data class WatchCase(val events: Int, val written: Duration, val isEnded: Boolean, val isSuspected: Boolean)
        listOf(
            WatchCase(events = 0, Duration.ZERO, isEnded = false, isSuspected = true),
            WatchCase(events = 0, Duration.ZERO, isEnded = true, isSuspected = true),
            WatchCase(events = 1, Duration.ZERO, isEnded = false, isSuspected = true),
            WatchCase(events = 1, Duration.ZERO, isEnded = true, isSuspected = false),
            WatchCase(events = 31, 1.seconds, isEnded = false, isSuspected = true),
            WatchCase(events = 32, 249.milliseconds, isEnded = false, isSuspected = true),
            WatchCase(events = 32, 250.milliseconds, isEnded = false, isSuspected = false),
            WatchCase(events = 2, 2.seconds, isEnded = false, isSuspected = false),
        ).forEach { case ->
            val scheduler = VirtualScheduler()
            val events = ArrayList<EventKind>()
            val guard = PromptGuard(EntryCounter(ProcessName("entry"), 1), scheduler, { events += it.kind }, Random(1))
            val start = EngineStart(UpstreamName("engine"), startedAt = null)
            val generation = ForwardFixture.GENERATION.copy(sharedParts = listOf(RequestTrait("part")))
            val request =
                ForwardFixture.request(RequestId("r"), "/stream/x", scheduler.now(), callerTimeout = null, generation)
            val watch = PromptWatch(guard, request, start, scheduler::now)
            watch.onWritten(minOf(1, case.events))
            scheduler.advance(case.written)
            watch.onWritten(case.events)
            if (case.isEnded) watch.onEnded()
            watch.onCrashed()
            assertEquals(case.isSuspected, EventKind.PROMPT_SUSPECTED in events, "$case")
        }
    }

    /** Plays [case] and returns what was wrong. */
    private fun check(case: Case, seed: Int): String? {
        val registrations = EntryFleet.registrations(decodeEngines = 24)
        val fleet = EntryFleet(case.entryCount, seed, case.behaviour, registrations = registrations)
        val load = Load(fleet, case)
        load.run(10.seconds)
        val calm = load.companions.toList()
        val begunAt = fleet.scheduler.now()
        case.deadlyParts.forEach { fleet.upstreams.deadlyParts += RequestTrait(it) }
        case.trouble(fleet)
        load.run(60.seconds)
        fleet.scheduler.advance(20.seconds)
        val problems = case.deadlyParts.mapNotNull { lateArrivals(fleet, RequestTrait(it)) } +
            listOfNotNull(lostCompanions(load, calm, begunAt), unanswered(load))
        return problems.takeIf { it.isNotEmpty() }?.joinToString(prefix = "${case.name}, seed $seed: ")
    }

    private fun lateArrivals(fleet: EntryFleet, part: RequestTrait): String? {
        val crashes = fleet.upstreams.crashes[part].orEmpty()
        val fifth = crashes.getOrNull(COUNTED_CRASHES - 1) ?: return null
        val arrivals = fleet.upstreams.partArrivals.getValue(part).count { it > fifth + CONTACT + MAXIMUM_LATENCY }
        if (arrivals <= ALLOWED_ARRIVALS) return null
        return "$arrivals arrivals with $part after the fifth of ${crashes.size} crashes"
    }

    /** Compares how often sound prompts with the same first part are answered before and after the crashes. */
    private fun lostCompanions(load: Load, calm: List<Pair<Moment, RecordingReply>>, begunAt: Moment): String? {
        val crashes = load.fleet.upstreams.crashes.values.flatten().sortedBy { it.microseconds }
        val bound = (crashes.getOrNull(COUNTED_CRASHES - 1) ?: crashes.lastOrNull() ?: begunAt) + CONTACT * 2
        val later = load.companions.filter { it.first > bound }
        val share = later.count { it.second.isComplete } / later.size.toDouble()
        val calmShare = calm.count { it.second.isComplete } / calm.size.toDouble()
        if (share >= calmShare / 2) return null
        return "$share of the sound prompts with the same first part answered, $calmShare before"
    }

    private fun unanswered(load: Load): String? {
        val open = (load.deadly + load.companions).count { !it.second.isFinal }
        val isExcused = load.fleet.entries.any { it.startCount > 1 }
        return "$open requests without an answer".takeIf { open > 0 && !isExcused }
    }

    /** Entries that are cut off from the registry are not in touch, and get no requests here from then on. */
    private fun cutOff(fleet: EntryFleet) {
        val cut = fleet.entries.take(fleet.entries.size / 4)
        fleet.cutFromRegistry(cut)
        fleet.entries -= cut.toSet()
        fleet.scheduler.schedule(20.seconds) {
            fleet.entries += cut
            fleet.reconnect()
        }
    }

    private fun freezeEntries(fleet: EntryFleet) = repeat(10) { number ->
        fleet.scheduler.schedule((2 + number * 3).seconds) { fleet.entries.random(fleet.random).freeze(2.seconds) }
    }

    private companion object {
        const val COMPANION = "first"
        const val COUNTED_CRASHES = 5
        const val ALLOWED_ARRIVALS = 3
        val SEEDS = 1..2
        val DECODES = (1..24).map { UpstreamName("decode-$it") }

        /** Time for which a host must have been in touch with the platform to be bound. */
        val CONTACT = 3.seconds
        val MAXIMUM_LATENCY = 5.milliseconds
    }
}
