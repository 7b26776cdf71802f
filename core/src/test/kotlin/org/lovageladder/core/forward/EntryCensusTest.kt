package org.lovageladder.core.forward

import org.lovageladder.core.EventKind
import org.lovageladder.core.Moment
import org.lovageladder.core.ProcessName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How many entries share the limits for all of them. */
class EntryCensusTest {
    private class VirtualRegistration(private val scheduler: VirtualScheduler) : EntryRegistration {
        var answering = true
        var lease = 0L
        var registrations = 0

        override fun register(period: Duration, answer: (Long?) -> Unit) {
            registrations += 1
            answer(if (answering) ++lease else null)
        }

        override fun renew(lease: Long, answer: (Boolean) -> Unit) {
            scheduler.after(Duration.ZERO) { answer(answering && lease == this.lease) }
        }
    }

    @Test
    fun entriesThatVanishCountForAWhile() {
        data class Step(val at: Int, val entry: String?, val registered: Boolean, val count: Int)
        val census = EntryCensus(expected = 8)
        listOf(
            Step(at = 0, entry = null, registered = false, count = 8),
            Step(at = 0, entry = "a", registered = true, count = 1),
            Step(at = 1, entry = "b", registered = true, count = 2),
            Step(at = 2, entry = "b", registered = false, count = 2),
            Step(at = 3, entry = "b", registered = true, count = 2),
            Step(at = 4, entry = "b", registered = false, count = 2),
            Step(at = 15, entry = null, registered = false, count = 1),
        ).forEach { step ->
            val now = Moment(0) + step.at.seconds
            step.entry?.let { census.seen(ProcessName(it), step.registered, now) }
            assertEquals(step.count, census.count(now), "$step")
        }
    }

    @Test
    fun entriesOfBeforeCountForAWhileWhenTheRegistryIsReadAnew() {
        val census = EntryCensus(expected = 8)
        listOf("a", "b", "c").forEach { census.seen(ProcessName(it), registered = true, Moment(0)) }
        census.readAnew(Moment(0))
        census.seen(ProcessName("a"), registered = true, Moment(0))
        assertEquals(3, census.count(Moment(0)))
        assertEquals(1, census.count(Moment(0) + 11.seconds))
    }

    @Test
    fun lapsedRegistrationIsMadeAnew() {
        val scheduler = VirtualScheduler()
        val registration = VirtualRegistration(scheduler)
        EntryPresence(registration, scheduler, 6.seconds).start()
        scheduler.advance(20.seconds)
        assertEquals(1, registration.registrations)
        registration.answering = false
        scheduler.advance(6.seconds)
        registration.answering = true
        scheduler.advance(2.seconds)
        assertTrue(registration.registrations > 1)
        val registrations = registration.registrations
        scheduler.advance(20.seconds)
        assertEquals(registrations, registration.registrations)
    }

    /** Load pattern: the registry is read whole again and again in an outage, with many entries. */
    @Test
    fun entriesAreRecordedWhenTheirNumberChangesOnly() {
        val world = ForwardWorld()
        fun recorded() = world.events.count { it.kind == EventKind.ENTRY_REGISTERED }
        val entries = List(30) { RegistryChange.EntrySeen(ProcessName("entry-$it"), registered = true) }
        entries.forEach(world.forwarder::registryChanged)
        val atFirst = recorded()
        repeat(5) {
            world.forwarder.registryChanged(RegistryChange.ReadWhole(ForwardWorld.MEMBERS))
            entries.forEach(world.forwarder::registryChanged)
        }
        assertEquals(atFirst, recorded())
    }

    /** Load pattern: many entries, at each of which most requests could be repeated. */
    @Test
    fun allEntriesTogetherKeepTheBudget() {
        data class Case(val entries: Int, val allowance: Double)
        listOf(Case(entries = 4, allowance = 52.0), Case(entries = 30, allowance = 100.0)).forEach { case ->
            val limits = RetryLimits(ratio = 0.2, allowance = case.allowance, window = 10.seconds)
            val budgets = List(case.entries) { RetryBudget(limits) { case.entries } }
            var repeats = 0
            (0 until 1_000).forEach { step ->
                val now = Moment(step * 10_000L)
                budgets.forEach { budget ->
                    if (step % 20 == 0) budget.requestArrived(ForwardWorld.PLAIN, now)
                    if (budget.tryRepeat(ForwardWorld.PLAIN, now)) repeats += 1
                }
            }
            val requests = case.entries * 50
            assertTrue(repeats <= 0.2 * requests + case.allowance, "$case: $repeats")
            assertTrue(repeats >= 0.2 * requests, "$case: $repeats")
        }
    }
}
