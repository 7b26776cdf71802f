package org.lovageladder.core.forward

import org.lovageladder.core.UpstreamName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What upstreams ask for in their answers, as tables, and where requests go then. The drain bound is two seconds. */
class UpstreamNoticesTest {
    private val leaving = UpstreamNotice(leaving = true)

    private fun member(name: String) = ForwardWorld.MEMBERS.single { it.name.text == name }

    private fun ForwardWorld.notice(name: String, notice: UpstreamNotice) =
        forwarder.noticed(member(name).start, notice)

    private fun ForwardWorld.runsAt(name: String) = upstreams.runs.count { it.sending.upstream.name.text == name }

    private fun ForwardWorld.submitSome(target: String) = repeat(20) {
        submit(target, wait = 10.seconds)
        scheduler.advance(20.milliseconds)
        upstreams.runs.filterNot { it.cancelled }.forEach { answerWhole(it) }
    }

    private fun ForwardWorld.answerWhole(call: ReceivedCall) {
        call.head(200)
        upstreams.finish(call)
        call.cancel()
    }

    @Test
    fun leavingUpstreamGivesWayToOthersAtOnce() {
        listOf(
            "/action/1" to "plain-1",
            "/lookup/1" to "plain-1",
            "/stream/1" to "decode-1",
        ).forEach { (target, name) ->
            val world = ForwardWorld(memory = 100_000)
            world.notice(name, leaving)
            world.submitSome(target)
            assertEquals(0, world.runsAt(name), target)
            assertTrue(world.upstreams.runs.isNotEmpty(), target)
        }
    }

    @Test
    fun lastUpstreamIsUsedOnlyWithinHalfOfTheDrainBound() {
        data class Case(val after: Duration, val refusal: RefusalReason?)
        listOf(
            Case(100.milliseconds, refusal = null),
            Case(900.milliseconds, refusal = null),
            Case(1_100.milliseconds, RefusalReason.NO_UPSTREAM),
            Case(60.seconds, RefusalReason.NO_UPSTREAM),
        ).forEach { case ->
            val world = ForwardWorld()
            world.forwarder.registryChanged(RegistryChange.Removed(UpstreamName("plain-2"), revision = 2))
            world.notice("plain-1", leaving)
            world.scheduler.advance(case.after)
            assertEquals(case.refusal, world.submit("/action/1").reply.refusal?.reason, "$case")
        }
    }

    /** Prompts and reservations are requests too. */
    @Test
    fun leavingEnginesGetNeitherPromptsNorReservations() {
        val world = ForwardWorld()
        listOf("prefill-1", "decode-1", "decode-2").forEach { world.notice(it, leaving) }
        world.scheduler.advance(1_100.milliseconds)
        val submitted = world.submit("/stream/1")
        world.scheduler.advance(1.seconds)
        assertEquals(RefusalReason.NO_UPSTREAM, submitted.reply.refusal?.reason)
        assertTrue(world.upstreams.prefills.isEmpty())
        assertEquals(0, world.upstreams.reservationsAsked)
    }

    @Test
    fun markHoldsForOneStartWhateverTheRegistrySays() {
        data class Case(val name: String, val used: Boolean, val change: (ForwardWorld) -> Unit)
        val start = member("plain-1").copy(startedAt = 7, revision = 2)
        val written = { world: ForwardWorld, member: Member ->
            world.forwarder.registryChanged(RegistryChange.Written(member))
        }
        listOf(
            Case("registered again as serving", used = false) { written(it, start.copy(revision = 3)) },
            Case("read whole", used = false) {
                it.forwarder.registryChanged(RegistryChange.ReadWhole(listOf(start.copy(revision = 3))))
            },
            Case("lapsed and back", used = false) {
                it.forwarder.registryChanged(RegistryChange.Removed(start.name, revision = 3))
                it.scheduler.advance(5.seconds)
                written(it, start.copy(revision = 4))
            },
            Case("registry away and back", used = false) {
                it.forwarder.registryChanged(RegistryChange.Lost)
                it.scheduler.advance(30.seconds)
                it.forwarder.registryChanged(RegistryChange.Regained)
            },
            Case("started anew", used = true) { written(it, start.copy(startedAt = 8, revision = 3)) },
        ).forEach { case ->
            val world = ForwardWorld()
            written(world, start)
            world.forwarder.registryChanged(RegistryChange.Removed(UpstreamName("plain-2"), revision = 2))
            world.forwarder.noticed(start.start, leaving)
            world.scheduler.advance(2.seconds)
            case.change(world)
            world.submit("/action/1")
            assertEquals(if (case.used) 1 else 0, world.runsAt("plain-1"), case.name)
        }
    }

    /** Load pattern: some upstreams of a service turn requests away and ask for a pause; the others take them. */
    @Test
    fun upstreamThatPausesGetsNothingUntilItsTimeIsOver() {
        data class Case(val pause: Duration, val after: Duration, val used: Boolean)
        listOf(
            Case(3.seconds, 0.seconds, used = false),
            Case(3.seconds, 2.seconds, used = false),
            Case(3.seconds, 3.seconds, used = true),
            Case(200.milliseconds, 0.seconds, used = false),
            Case(1e9.seconds, 50.seconds, used = false),
            Case(1e9.seconds, 61.seconds, used = true),
        ).forEach { case ->
            listOf("/action/1" to "plain-1", "/stream/1" to "decode-1").forEach { (target, name) ->
                val world = ForwardWorld(memory = 100_000)
                world.notice(name, UpstreamNotice(pause = case.pause))
                world.scheduler.advance(case.after)
                world.submit(target, wait = 10.seconds)
                world.submitSome(target)
                val early = world.scheduler.now() - org.lovageladder.core.Moment(0) < case.pause
                assertEquals(case.used, world.runsAt(name) > 0 && (case.used || early), "$case $target")
            }
        }
    }

    @Test
    fun pauseIsNotShortenedByALaterNotice() {
        val world = ForwardWorld()
        world.forwarder.registryChanged(RegistryChange.Removed(UpstreamName("plain-2"), revision = 2))
        world.notice("plain-1", UpstreamNotice(pause = 3.seconds))
        world.notice("plain-1", UpstreamNotice(pause = 1.seconds))
        world.scheduler.advance(2.seconds)
        assertNotNull(world.submit("/action/1").reply.refusal)
    }

    /** Load pattern: all upstreams of a service pause, and callers go on pressing. */
    @Test
    fun callersAreToldToReturnWhenTheFirstPauseEnds() {
        val world = ForwardWorld()
        world.notice("plain-1", UpstreamNotice(pause = 2.seconds))
        world.notice("plain-2", UpstreamNotice(pause = 1.seconds))
        val refusal = assertNotNull(world.submit("/action/1", wait = 9.seconds).reply.refusal)
        assertEquals(RefusalReason.OVERLOADED, refusal.reason)
        assertTrue(assertNotNull(refusal.returnAfter) >= 1.seconds)
        val hurried = assertNotNull(world.submit("/action/1", wait = 600.milliseconds).reply.refusal)
        assertTrue(assertNotNull(hurried.returnAfter) <= 200.milliseconds)
        assertTrue(world.upstreams.runs.isEmpty())
    }

    /** Load pattern: all engines pause; a stream waits for the first of them when that is in time. */
    @Test
    fun streamWaitsForAPauseThatEndsInTimeAndIsRefusedAtOnceOtherwise() {
        data class Case(val pause: Duration, val waits: Boolean)
        listOf(Case(300.milliseconds, waits = true), Case(3.seconds, waits = false)).forEach { case ->
            val world = ForwardWorld()
            listOf("decode-1", "decode-2").forEach { world.notice(it, UpstreamNotice(pause = case.pause)) }
            val submitted = world.submit("/stream/1", wait = 10.seconds)
            assertEquals(!case.waits, submitted.reply.refusal?.reason == RefusalReason.OVERLOADED, "$case")
            world.scheduler.advance(600.milliseconds)
            assertEquals(if (case.waits) 1 else 0, world.upstreams.runs.size, "$case")
        }
    }

    /** A request in the middle of its prompt goes to another engine when its own asks for a pause meanwhile. */
    @Test
    fun reservedMemoryIsNotUsedLongAfterItsEnginePaused() {
        val world = ForwardWorld()
        world.upstreams.prefillTime = 500.milliseconds
        world.submit("/stream/1", wait = 10.seconds)
        world.scheduler.advance(20.milliseconds)
        val reserved = world.upstreams.lastReserved
        world.forwarder.noticed(reserved, UpstreamNotice(pause = 3.seconds))
        world.scheduler.advance(600.milliseconds)
        val run = world.upstreams.runs.single()
        assertTrue(run.sending.upstream != reserved)
        assertNotNull(run.sending.prefill, "the prompt is not read twice")
        assertNull(world.upstreams.released.find { it == reserved }, "it wants no calls")
    }

    @Test
    fun unreadableNoticesAreLoggedOnceInAWhile() {
        val world = ForwardWorld()
        repeat(100) { world.notice("plain-1", UpstreamNotice(unreadable = "Retry-After: \"x\"")) }
        val complaints = { world.events.count { it.kind == org.lovageladder.core.EventKind.NOTICE_UNREADABLE } }
        assertEquals(1, complaints())
        world.scheduler.advance(61.seconds)
        world.notice("plain-1", UpstreamNotice(unreadable = "Retry-After: \"x\""))
        assertEquals(2, complaints())
    }
}
