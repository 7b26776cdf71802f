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

/** Notices in upstream answers, as tables, and where requests are sent afterwards. The drain bound is two seconds. */
class UpstreamNoticesTest {
    private val leaving = UpstreamNotice(isLeaving = true)

    private fun registration(name: String) = ForwardFixture.REGISTRATIONS.single { it.name.text == name }

    private fun ForwardFixture.sendNotice(name: String, notice: UpstreamNotice) =
        forwarder.onUpstreamNotice(registration(name).incarnation, notice)

    private fun ForwardFixture.callsAt(name: String) =
        upstreams.receivedCalls.count { it.attempt.upstream.name.text == name }

    private fun ForwardFixture.submitMany(target: String) = repeat(20) {
        submit(target, callerTimeout = 10.seconds)
        scheduler.advance(20.milliseconds)
        upstreams.receivedCalls.filterNot { it.isCancelled }.forEach { answerCompletely(it) }
    }

    private fun ForwardFixture.answerCompletely(call: ReceivedCall) {
        call.head(200)
        upstreams.finish(call)
        call.cancel()
    }

    @Test
    fun leavingUpstreamGetsNothingWhileOthersAreAvailable() {
        listOf(
            "/action/1" to "plain-1",
            "/lookup/1" to "plain-1",
            "/stream/1" to "decode-1",
        ).forEach { (target, name) ->
            val fixture = ForwardFixture(memory = 100_000)
            fixture.sendNotice(name, leaving)
            fixture.submitMany(target)
            assertEquals(0, fixture.callsAt(name), target)
            assertTrue(fixture.upstreams.receivedCalls.isNotEmpty(), target)
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
            val fixture = ForwardFixture()
            fixture.forwarder.onRegistryChange(RegistryChange.Removed(UpstreamName("plain-2"), revision = 2))
            fixture.sendNotice("plain-1", leaving)
            fixture.scheduler.advance(case.after)
            assertEquals(case.refusal, fixture.submit("/action/1").reply.refusal?.reason, "$case")
        }
    }

    /** Prefills and reservations count as requests too. */
    @Test
    fun leavingEnginesGetNeitherPrefillsNorReservations() {
        val fixture = ForwardFixture()
        listOf("prefill-1", "decode-1", "decode-2").forEach { fixture.sendNotice(it, leaving) }
        fixture.scheduler.advance(1_100.milliseconds)
        val submitted = fixture.submit("/stream/1")
        fixture.scheduler.advance(1.seconds)
        assertEquals(RefusalReason.NO_UPSTREAM, submitted.reply.refusal?.reason)
        assertTrue(fixture.upstreams.prefills.isEmpty())
        assertEquals(0, fixture.upstreams.reservationRequests)
    }

    @Test
    fun leavingNoticeAppliesToOneStartWhateverTheRegistrySays() {
        data class Case(val name: String, val isUsed: Boolean, val change: (ForwardFixture) -> Unit)
        val restarted = registration("plain-1").copy(startedAt = 7, revision = 2)
        val register = { fixture: ForwardFixture, registration: UpstreamRegistration ->
            fixture.forwarder.onRegistryChange(RegistryChange.Registered(registration))
        }
        listOf(
            Case("registered again as serving", isUsed = false) { register(it, restarted.copy(revision = 3)) },
            Case("full read", isUsed = false) {
                it.forwarder.onRegistryChange(RegistryChange.FullRead(listOf(restarted.copy(revision = 3))))
            },
            Case("expired and registered again", isUsed = false) {
                it.forwarder.onRegistryChange(RegistryChange.Removed(restarted.name, revision = 3))
                it.scheduler.advance(5.seconds)
                register(it, restarted.copy(revision = 4))
            },
            Case("registry unavailable for a time", isUsed = false) {
                it.forwarder.onRegistryChange(RegistryChange.Unavailable())
                it.scheduler.advance(30.seconds)
                it.forwarder.onRegistryChange(RegistryChange.Available())
            },
            Case("restarted", isUsed = true) { register(it, restarted.copy(startedAt = 8, revision = 3)) },
        ).forEach { case ->
            val fixture = ForwardFixture()
            register(fixture, restarted)
            fixture.forwarder.onRegistryChange(RegistryChange.Removed(UpstreamName("plain-2"), revision = 2))
            fixture.forwarder.onUpstreamNotice(restarted.incarnation, leaving)
            fixture.scheduler.advance(2.seconds)
            case.change(fixture)
            fixture.submit("/action/1")
            assertEquals(if (case.isUsed) 1 else 0, fixture.callsAt("plain-1"), case.name)
        }
    }

    /**
     * Load pattern: some upstreams of a service turn requests away and ask for a pause; the others take the requests.
     */
    @Test
    fun pausedUpstreamGetsNothingUntilItsPauseEnds() {
        data class Case(val pause: Duration, val after: Duration, val isUsed: Boolean)
        listOf(
            Case(3.seconds, 0.seconds, isUsed = false),
            Case(3.seconds, 2.seconds, isUsed = false),
            Case(3.seconds, 3.seconds, isUsed = true),
            Case(200.milliseconds, 0.seconds, isUsed = false),
            Case(1e9.seconds, 50.seconds, isUsed = false),
            Case(1e9.seconds, 61.seconds, isUsed = true),
        ).forEach { case ->
            listOf("/action/1" to "plain-1", "/stream/1" to "decode-1").forEach { (target, name) ->
                val fixture = ForwardFixture(memory = 100_000)
                fixture.sendNotice(name, UpstreamNotice(pause = case.pause))
                fixture.scheduler.advance(case.after)
                fixture.submit(target, callerTimeout = 10.seconds)
                fixture.submitMany(target)
                val isBeforePauseEnd = fixture.scheduler.now() - org.lovageladder.core.Moment(0) < case.pause
                assertEquals(
                    case.isUsed,
                    fixture.callsAt(name) > 0 && (case.isUsed || isBeforePauseEnd),
                    "$case $target",
                )
            }
        }
    }

    @Test
    fun pauseIsNotShortenedByALaterNotice() {
        val fixture = ForwardFixture()
        fixture.forwarder.onRegistryChange(RegistryChange.Removed(UpstreamName("plain-2"), revision = 2))
        fixture.sendNotice("plain-1", UpstreamNotice(pause = 3.seconds))
        fixture.sendNotice("plain-1", UpstreamNotice(pause = 1.seconds))
        fixture.scheduler.advance(2.seconds)
        assertNotNull(fixture.submit("/action/1").reply.refusal)
    }

    /** Load pattern: all upstreams of a service pause, and callers keep sending requests. */
    @Test
    fun callersAreToldToReturnWhenTheFirstPauseEnds() {
        val fixture = ForwardFixture()
        fixture.sendNotice("plain-1", UpstreamNotice(pause = 2.seconds))
        fixture.sendNotice("plain-2", UpstreamNotice(pause = 1.seconds))
        val refusal = assertNotNull(fixture.submit("/action/1", callerTimeout = 9.seconds).reply.refusal)
        assertEquals(RefusalReason.OVERLOADED, refusal.reason)
        assertTrue(assertNotNull(refusal.retryAfter) >= 1.seconds)
        val shortWait = assertNotNull(fixture.submit("/action/1", callerTimeout = 600.milliseconds).reply.refusal)
        assertTrue(assertNotNull(shortWait.retryAfter) <= 200.milliseconds)
        assertTrue(fixture.upstreams.receivedCalls.isEmpty())
    }

    /** Load pattern: all engines pause; a stream waits for the first pause to end if that is in time. */
    @Test
    fun streamWaitsOnlyForAPauseThatEndsInTime() {
        data class Case(val pause: Duration, val isServed: Boolean)
        listOf(Case(300.milliseconds, isServed = true), Case(3.seconds, isServed = false)).forEach { case ->
            val fixture = ForwardFixture()
            listOf("decode-1", "decode-2").forEach { fixture.sendNotice(it, UpstreamNotice(pause = case.pause)) }
            val submitted = fixture.submit("/stream/1", callerTimeout = 10.seconds)
            assertEquals(!case.isServed, submitted.reply.refusal?.reason == RefusalReason.OVERLOADED, "$case")
            fixture.scheduler.advance(600.milliseconds)
            assertEquals(if (case.isServed) 1 else 0, fixture.upstreams.receivedCalls.size, "$case")
        }
    }

    /** A request whose engine asks for a pause during its prefill is sent to another engine. */
    @Test
    fun reservedMemoryIsNotUsedLongAfterItsEnginePaused() {
        val fixture = ForwardFixture()
        fixture.upstreams.prefillTime = 500.milliseconds
        fixture.submit("/stream/1", callerTimeout = 10.seconds)
        fixture.scheduler.advance(20.milliseconds)
        val reserved = fixture.upstreams.lastReserved
        fixture.forwarder.onUpstreamNotice(reserved, UpstreamNotice(pause = 3.seconds))
        fixture.scheduler.advance(600.milliseconds)
        val call = fixture.upstreams.receivedCalls.single()
        assertTrue(call.attempt.upstream != reserved)
        assertNotNull(call.attempt.prefillResult, "the prompt is not prefilled twice")
        assertNull(fixture.upstreams.released.find { it == reserved }, "a paused engine gets no calls")
    }

    @Test
    fun unreadableNoticesAreLoggedOncePerInterval() {
        val fixture = ForwardFixture()
        repeat(100) { fixture.sendNotice("plain-1", UpstreamNotice(unreadablePart = "Retry-After: \"x\"")) }
        val loggedNotices = { fixture.events.count { it.kind == org.lovageladder.core.EventKind.NOTICE_UNREADABLE } }
        assertEquals(1, loggedNotices())
        fixture.scheduler.advance(61.seconds)
        fixture.sendNotice("plain-1", UpstreamNotice(unreadablePart = "Retry-After: \"x\""))
        assertEquals(2, loggedNotices())
    }
}
