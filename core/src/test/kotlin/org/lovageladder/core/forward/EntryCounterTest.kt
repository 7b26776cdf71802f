package org.lovageladder.core.forward

import org.lovageladder.core.EventKind
import org.lovageladder.core.Moment
import org.lovageladder.core.ProcessName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Number of entries that share the common limits, and the registration of this entry. */
class EntryCounterTest {
    private class FakeEntryRegistrationPort(private val scheduler: VirtualScheduler) : EntryRegistrationPort {
        var isAvailable = true
        var lease = 0L
        var registrations = 0

        override fun register(period: Duration, answer: (RegistryLease?) -> Unit) {
            registrations += 1
            answer(if (isAvailable) RegistryLease(++lease, epoch = 0) else null)
        }

        override fun renew(lease: RegistryLease, answer: (Boolean) -> Unit) {
            scheduler.schedule(Duration.ZERO) { answer(isAvailable && lease.id == this.lease) }
        }
    }

    @Test
    fun missingEntriesCountUntilTheTimeout() {
        data class Step(val at: Int, val entry: String?, val isRegistered: Boolean, val count: Int)
        val counter = EntryCounter(ProcessName("a"), expectedCount = 8)
        listOf(
            Step(at = 0, entry = null, isRegistered = false, count = 8),
            Step(at = 0, entry = "a", isRegistered = true, count = 1),
            Step(at = 1, entry = "b", isRegistered = true, count = 2),
            Step(at = 2, entry = "b", isRegistered = false, count = 2),
            Step(at = 3, entry = "b", isRegistered = true, count = 2),
            Step(at = 4, entry = "b", isRegistered = false, count = 2),
            Step(at = 15, entry = null, isRegistered = false, count = 1),
        ).forEach { step ->
            val now = Moment(0) + step.at.seconds
            step.entry?.let { counter.recordRegistration(ProcessName(it), step.isRegistered, now) }
            assertEquals(step.count, counter.count(now), "$step")
        }
    }

    @Test
    fun entriesMissingFromAFullReadCountUntilTheTimeout() {
        val counter = EntryCounter(ProcessName("a"), expectedCount = 8)
        listOf("a", "b", "c").forEach { counter.recordRegistration(ProcessName(it), isRegistered = true, Moment(0)) }
        counter.markAllMissing(Moment(0))
        counter.recordRegistration(ProcessName("a"), isRegistered = true, Moment(0))
        assertEquals(3, counter.count(Moment(0)))
        assertEquals(1, counter.count(Moment(0) + 11.seconds))
    }

    /** Processes that know the same entries agree on who precedes whom, and no entry is preferred for all keys. */
    @Test
    fun entriesAgreeOnAnOrderThatDependsOnTheKey() {
        val names = List(30) { ProcessName("entry-bc-coast-${'a' + it % 4}-$it") }
        val counters = names.map { EntryCounter(it, expectedCount = 8) }
        counters.forEach { counter -> names.forEach { counter.recordRegistration(it, isRegistered = true, Moment(0)) } }
        val firstOf = HashMap<Int, Int>()
        repeat(300) { upstream ->
            val ranks = counters.map { it.rank("i-$upstream", Moment(0) + upstream.seconds) }
            assertEquals(names.indices.toList(), ranks.map { checkNotNull(it) }.sorted())
            firstOf.merge(ranks.indexOf(0), 1, Int::plus)
        }
        assertTrue(firstOf.values.max() <= 30, "an entry is first for too many of 300 upstreams: $firstOf")
        assertTrue(firstOf.size >= 25, "too few entries are first for any of 300 upstreams: $firstOf")
    }

    @Test
    fun rankFollowsTheKnownEntries() {
        val counter = EntryCounter(ProcessName("a"), expectedCount = 8)
        assertNull(counter.rank("u", Moment(0)))
        counter.recordRegistration(ProcessName("a"), isRegistered = true, Moment(0))
        assertEquals(0, counter.rank("u", Moment(0)))
        val others = List(20) { ProcessName("entry-$it") }
        others.forEach { counter.recordRegistration(it, isRegistered = true, Moment(0)) }
        assertEquals(21, counter.rankedCount(Moment(0)))
        assertTrue(checkNotNull(counter.rank("u", Moment(0))) > 0)
        others.forEach { counter.recordRegistration(it, isRegistered = false, Moment(0)) }
        assertTrue(checkNotNull(counter.rank("u", Moment(0) + 10.seconds)) > 0, "missing entries still count")
        assertEquals(0, counter.rank("u", Moment(0) + 11.seconds))
    }

    /** An entry that joins displaces no other until entries that are cut off, and do not see it, know that they are. */
    @Test
    fun joiningEntryIsNotRankedBySettledOnes() {
        val settled = EntryCounter(ProcessName("a"), expectedCount = 8)
        val joining = EntryCounter(ProcessName("entry-0"), expectedCount = 8)
        settled.recordRegistration(ProcessName("a"), isRegistered = true, Moment(0))
        val joinedAt = Moment(0) + 20.seconds
        val others = List(20) { ProcessName("entry-$it") }
        listOf(settled, joining).forEach { counter ->
            others.forEach { counter.recordRegistration(it, isRegistered = true, joinedAt) }
            counter.recordRegistration(ProcessName("a"), isRegistered = true, joinedAt)
        }
        data class Case(val after: Duration, val rankedBySettled: Int, val isJoiningSettled: Boolean)
        listOf(Case(0.seconds, 1, false), Case(13.seconds, 1, false), Case(14.seconds, 21, true)).forEach { case ->
            val now = joinedAt + case.after
            assertEquals(case.rankedBySettled, settled.rankedCount(now), "$case")
            assertEquals(21, joining.rankedCount(now), "$case")
            assertEquals(21, settled.count(now), "$case")
            assertEquals(true, settled.isSettled(now), "$case")
            assertEquals(case.isJoiningSettled, joining.isSettled(now), "$case")
        }
    }

    @Test
    fun entryWithoutRegistryIsNotSettledBeforeOthersStopCountingIt() {
        data class Case(val unavailableFor: Duration, val isSettled: Boolean)
        listOf(Case(0.seconds, true), Case(8.seconds, true), Case(9.seconds, false), Case(60.seconds, false)).forEach {
            val counter = EntryCounter(ProcessName("a"), expectedCount = 8)
            counter.recordRegistration(ProcessName("a"), isRegistered = true, Moment(0))
            val lostAt = Moment(0) + 20.seconds
            val backAt = lostAt + it.unavailableFor
            counter.recordAvailability(isAvailable = false, lostAt)
            counter.recordAvailability(isAvailable = false, backAt)
            assertEquals(it.isSettled, counter.isSettled(backAt), "$it")
            counter.recordAvailability(isAvailable = true, backAt)
            assertEquals(it.isSettled, counter.isSettled(backAt + 13.seconds), "joins anew: $it")
            assertEquals(true, counter.isSettled(backAt + 14.seconds), "$it")
        }
    }

    @Test
    fun expiredRegistrationIsRepeated() {
        val scheduler = VirtualScheduler()
        val registration = FakeEntryRegistrationPort(scheduler)
        EntryRegistrar(registration, scheduler, 6.seconds).start()
        scheduler.advance(20.seconds)
        assertEquals(1, registration.registrations)
        registration.isAvailable = false
        scheduler.advance(6.seconds)
        registration.isAvailable = true
        scheduler.advance(2.seconds)
        assertTrue(registration.registrations > 1)
        val registrations = registration.registrations
        scheduler.advance(20.seconds)
        assertEquals(registrations, registration.registrations)
    }

    /** Guards against an entry that renews its lease for ever while nobody counts it. */
    @Test
    fun registrationThatTheRegistryDoesNotListIsRepeated() {
        data class Case(val isListed: Boolean, val isAvailable: Boolean, val isRepeated: Boolean)
        listOf(
            Case(isListed = true, isAvailable = true, isRepeated = false),
            Case(isListed = false, isAvailable = true, isRepeated = true),
            Case(isListed = false, isAvailable = false, isRepeated = false),
        ).forEach { case ->
            val scheduler = VirtualScheduler()
            val registration = FakeEntryRegistrationPort(scheduler)
            val counter = EntryCounter(ProcessName("a"), expectedCount = 8)
            EntryRegistrar(registration, scheduler, 6.seconds, isMissing = { counter.isMissing }).start()
            counter.recordRegistration(ProcessName("a"), isRegistered = true, scheduler.now())
            scheduler.advance(10.seconds)
            assertEquals(1, registration.registrations, "$case")
            counter.recordAvailability(case.isAvailable, scheduler.now())
            counter.recordRegistration(ProcessName("a"), case.isListed, scheduler.now())
            scheduler.advance(2_500.milliseconds)
            assertEquals(case.isRepeated, registration.registrations > 1, "$case")
        }
    }

    @Test
    fun registrationIsRepeatedAtOnceWhenTheRegistryIsRestored() {
        val scheduler = VirtualScheduler()
        val registration = FakeEntryRegistrationPort(scheduler)
        val registrar = EntryRegistrar(registration, scheduler, 6.seconds)
        registrar.start()
        repeat(2) { restoration ->
            scheduler.advance(1.seconds)
            registrar.onRegistryRestored()
            assertEquals(restoration + 2, registration.registrations)
        }
        scheduler.advance(20.seconds)
        assertEquals(3, registration.registrations, "only the newest registration is renewed")
    }

    /** Load pattern: the registry is read completely many times during an outage, with many entries. */
    @Test
    fun entryEventsAreRecordedOnlyWhenTheCountChanges() {
        val fixture = ForwardFixture()
        fun recordedEvents() = fixture.events.count { it.kind == EventKind.ENTRY_REGISTERED }
        val entries =
            List(30) { RegistryChange.EntryRegistrationChanged(ProcessName("entry-$it"), isRegistered = true) }
        entries.forEach(fixture.forwarder::onRegistryChange)
        val initialCount = recordedEvents()
        repeat(5) {
            fixture.forwarder.onRegistryChange(RegistryChange.FullRead(ForwardFixture.REGISTRATIONS))
            entries.forEach(fixture.forwarder::onRegistryChange)
        }
        assertEquals(initialCount, recordedEvents())
    }
}
