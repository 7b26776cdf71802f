package org.lovageladder.core.forward

import org.lovageladder.core.Address
import org.lovageladder.core.EventKind
import org.lovageladder.core.PoolRole
import org.lovageladder.core.UpstreamName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Token streams: memory, prefill, decode, and what callers get when a step fails. */
class StreamFlowTest {
    private val fixture = ForwardFixture()

    private fun startStream(target: String = "/stream/1"): ForwardFixture.Submitted {
        val submitted = fixture.submit(target)
        fixture.scheduler.advance(150.milliseconds)
        return submitted
    }

    @Test
    fun memoryIsReservedBeforePrefillAndDecode() {
        val submitted = startStream()
        val call = fixture.upstreams.receivedCalls.single()
        assertNotNull(call.attempt.reservation)
        assertNotNull(call.attempt.prefillResult)
        call.head(200)
        call.content("id: 1\ndata: a\n\n")
        call.content("id: 2\ndata: b\n\n")
        fixture.upstreams.finish(call)
        assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", submitted.reply.body.toString())
        assertTrue(submitted.reply.isComplete)
    }

    /** A handle does not say whose prompt it is: another start, or another engine at the address, may use it again. */
    @Test
    fun prefillResultOfAnEngineThatEndedIsNotUsed() {
        val prefillEngine = ForwardFixture.REGISTRATIONS.single { it.name.text == "prefill-1" }
        val restarted = prefillEngine.copy(startedAt = 7, revision = 2)
        val registrations = listOf(prefillEngine, restarted, prefillEngine.copy(name = UpstreamName("new")))
        val isUsed = registrations.map { registration ->
            val fixture = ForwardFixture()
            fixture.submit("/stream/1")
            fixture.scheduler.advance(20.milliseconds)
            fixture.forwarder.onRegistryChange(RegistryChange.Registered(registration))
            fixture.scheduler.advance(150.milliseconds)
            fixture.upstreams.receivedCalls.single().attempt.prefillResult != null
        }
        assertEquals(listOf(true, false, false), isUsed)
    }

    /**
     * Guards against a stream that reaches an engine after its drain, by a reservation from before it. Load pattern:
     * prefill engines that fall silent while decode engines are replaced.
     */
    @Test
    fun reservationFromBeforeADrainIsNotUsedLongAfterItBegan() {
        data class Case(
            val name: String,
            val sinceChange: Duration,
            val isUsed: Boolean,
            val change: (UpstreamRegistration) -> RegistryChange?,
        )
        val prefillTime = 2.seconds
        fun registered(change: UpstreamRegistration.() -> UpstreamRegistration) = { engine: UpstreamRegistration ->
            RegistryChange.Registered(engine.change().copy(revision = 2))
        }
        fun removed(engine: UpstreamRegistration) = RegistryChange.Removed(engine.name, revision = 2)
        fun announced(engine: UpstreamRegistration) = RegistryChange.RoleChangeAnnounced(engine.name, true)
        listOf(
            Case("unchanged", 1_900.milliseconds, true, registered { this }),
            Case("leaves", 1_900.milliseconds, false, registered { copy(isLeaving = true) }),
            Case("began to leave just now", 100.milliseconds, true, registered { copy(isLeaving = true) }),
            Case("removed", 1_900.milliseconds, false, ::removed),
            Case("removed just now", 100.milliseconds, true, ::removed),
            Case("started anew", 100.milliseconds, false, registered { copy(startedAt = 7) }),
            Case("address registered twice", 100.milliseconds, true, registered { copy(name = UpstreamName("new")) }),
            Case("other role", 100.milliseconds, false, registered { copy(role = PoolRole.PREFILL) }),
            Case("role change announced", 100.milliseconds, false, ::announced),
            Case("says in an answer that it leaves", 1_900.milliseconds, false) { null },
            Case("said just now that it leaves", 100.milliseconds, true) { null },
        ).forEach { case ->
            val fixture = ForwardFixture()
            fixture.upstreams.prefillTime = prefillTime
            fixture.submit("/stream/1")
            fixture.scheduler.advance(prefillTime - case.sinceChange)
            val reserved = fixture.upstreams.lastReserved
            val engine = ForwardFixture.REGISTRATIONS.single { it.name == reserved.name }
            val change = case.change(engine)
            if (change == null) fixture.forwarder.onUpstreamNotice(reserved, UpstreamNotice(isLeaving = true))
            change?.let(fixture.forwarder::onRegistryChange)
            fixture.scheduler.advance(case.sinceChange + 50.milliseconds)
            val attempt = fixture.upstreams.receivedCalls.single().attempt
            assertEquals(case.isUsed, attempt.upstream == reserved, case.name)
            assertNotNull(attempt.prefillResult, case.name)
            assertEquals(1, fixture.upstreams.reservations, case.name)
        }
    }

    /** Guards against engine memory that is held for nobody, when no engine is left for a prompt that is prefilled. */
    @Test
    fun prefillResultIsFreedWhenARequestEndsWithoutOtherMemory() {
        val submitted = fixture.submit("/stream/1")
        fixture.scheduler.advance(50.milliseconds)
        val engines = ForwardFixture.REGISTRATIONS.filter { it.role == PoolRole.DECODE }
        engines.forEach {
            fixture.forwarder.onRegistryChange(RegistryChange.Registered(it.copy(startedAt = 7, isLeaving = true)))
        }
        fixture.scheduler.advance(100.milliseconds)
        assertEquals(RefusalReason.NO_UPSTREAM, submitted.reply.refusal?.reason)
        assertEquals(1, fixture.upstreams.freed.size)
    }

    /** Load pattern: unframed streams, beside engines that crash between two events. */
    @Test
    fun unframedStreamIsCompleteOnlyIfItsEngineOutlivedItsEnd() {
        data class Case(val target: String, val isRunning: Boolean, val isPaused: Boolean, val outcome: String)
        listOf(
            Case("/stream/1", isRunning = true, isPaused = false, outcome = "complete"),
            Case("/stream/1", isRunning = false, isPaused = false, outcome = "aborted"),
            Case("/stream/1", isRunning = true, isPaused = true, outcome = "complete"),
            Case("/stream/1", isRunning = false, isPaused = true, outcome = "aborted"),
            Case("/stream-on/1", isRunning = true, isPaused = true, outcome = "complete after another engine"),
            Case("/stream-on/1", isRunning = true, isPaused = false, outcome = "complete"),
            Case("/stream-on/1", isRunning = false, isPaused = false, outcome = "complete after another engine"),
        ).forEach { case ->
            val fixture = ForwardFixture()
            val submitted = fixture.submit(case.target)
            fixture.scheduler.advance(150.milliseconds)
            val call = fixture.upstreams.receivedCalls.single()
            if (!case.isRunning) fixture.upstreams.ended += call.attempt.address
            call.head(200, endsWithConnection = true)
            call.content("id: 1\ndata: a\n\n")
            val notice = UpstreamNotice(pause = 1.seconds).takeIf { case.isPaused }
            notice?.let { fixture.forwarder.onUpstreamNotice(call.attempt.upstream, it) }
            fixture.upstreams.finish(call)
            assertFalse(submitted.reply.isFinal, "$case")
            fixture.scheduler.advance(200.milliseconds)
            val second = fixture.upstreams.receivedCalls.getOrNull(1)
            assertEquals(second?.let { EventId("1") }, second?.attempt?.resumeAfterEventId, "$case")
            second?.head(200, endsWithConnection = true)
            second?.let(fixture.upstreams::finish)
            fixture.scheduler.advance(27.milliseconds)
            if (case.isPaused && second == null) {
                assertFalse(submitted.reply.isFinal, "$case")
                assertEquals(0, fixture.upstreams.checked.size, "$case")
                fixture.scheduler.advance(1.seconds)
            }
            val outcome = when {
                submitted.reply.isAborted -> "aborted"
                second != null -> "complete after another engine"
                else -> "complete"
            }
            assertEquals(case.outcome, outcome, "$case")
            assertTrue(submitted.reply.isFinal, "$case")
            assertEquals(0, fixture.forwarder.openRequests, "$case")
        }
    }

    @Test
    fun declinedDecodeIsRetriedOnAnotherEngine() {
        val submitted = startStream()
        fixture.upstreams.receivedCalls.single().answer(503, isDeclined = true)
        assertEquals(1, fixture.upstreams.freed.size)
        fixture.scheduler.advance(150.milliseconds)
        val second = fixture.upstreams.receivedCalls[1]
        assertFalse(second.attempt.upstream == fixture.upstreams.receivedCalls[0].attempt.upstream)
        second.head(200)
        fixture.upstreams.finish(second)
        assertTrue(submitted.reply.isComplete)
    }

    /** Load pattern: connections that stay silent for good, without a reset. */
    @Test
    fun onlyResumableStreamsLeaveASilentUpstream() {
        data class Case(val target: String, val calls: Int)
        listOf(Case("/stream-on/1", calls = 2), Case("/stream/1", calls = 1)).forEach { case ->
            val fixture = ForwardFixture()
            val submitted = fixture.submit(case.target)
            fixture.scheduler.advance(200.milliseconds)
            val first = fixture.upstreams.receivedCalls.single()
            first.head(200)
            first.content("id: 1\ndata: a\n\n")
            fixture.scheduler.advance(2.seconds)
            assertEquals(case.calls, fixture.upstreams.receivedCalls.size, "$case")
            assertEquals(case.calls == 2, first.isCancelled, "$case")
            val resumeAfter = fixture.upstreams.receivedCalls.last().attempt.resumeAfterEventId
            assertEquals(if (case.calls == 2) EventId("1") else null, resumeAfter, "$case")
            assertFalse(submitted.reply.isFinal, "$case")
        }
    }

    /** Load pattern: one engine declines every prompt at once and therefore seems free, while the others are busy. */
    @Test
    fun engineThatDeclinesEveryPromptGetsFewPrompts() {
        val decliningEngine =
            ForwardFixture.registration("prefill-2", ForwardFixture.ENGINES, org.lovageladder.core.PoolRole.PREFILL, 9)
        fixture.forwarder.onRegistryChange(RegistryChange.Registered(decliningEngine))
        fixture.upstreams.prefillRefusals += decliningEngine.address
        repeat(100) {
            val submitted = fixture.submit("/stream/1")
            fixture.scheduler.advance(20.milliseconds)
            submitted.handle?.onCallerDisconnected()
        }
        val declined = fixture.upstreams.prefills.count { it.address == decliningEngine.address }
        assertTrue(declined <= 8, "$declined of ${fixture.upstreams.prefills.size}")
    }

    /**
     * Load pattern: engines that decline prefills, or decline requests for which they reserved memory. Every call that
     * reaches an engine counts, except the first successful prefill of a request; calls beyond one for each request are
     * retries.
     */
    @Test
    fun engineCallsBeyondOneForEachRequestStayWithinTheBudget() {
        data class Case(val decodeDeclines: Boolean, val prefillDeclines: Boolean)
        listOf(
            Case(decodeDeclines = true, prefillDeclines = false),
            Case(decodeDeclines = false, prefillDeclines = true),
            Case(decodeDeclines = true, prefillDeclines = true),
        ).forEach { case ->
            val fixture = ForwardFixture(memory = 1_000_000)
            if (case.prefillDeclines) fixture.upstreams.prefillRefusals += Address("10.0.0.1", 3)
            val requests = 40
            repeat(requests) {
                val before = fixture.upstreams.receivedCalls.size
                fixture.submit("/stream/1")
                fixture.scheduler.advance(110.milliseconds)
                if (case.decodeDeclines) {
                    fixture.upstreams.receivedCalls.drop(before).forEach { it.answer(503, isDeclined = true) }
                }
                fixture.scheduler.advance(110.milliseconds)
            }
            val firstPrefills = if (case.prefillDeclines) 0 else requests
            val reached = fixture.upstreams.receivedCalls.size + fixture.upstreams.prefills.size
            val retries = reached - firstPrefills - requests
            assertTrue(retries <= 0.2 * requests + 8, "$case: $retries retries")
        }
    }

    @Test
    fun decodeEngineGetsThePromptWhenPrefillIsRefused() {
        fixture.upstreams.prefillRefusals += ForwardFixture.REGISTRATIONS.first { it.name.text == "prefill-1" }.address
        startStream()
        assertNull(fixture.upstreams.receivedCalls.single().attempt.prefillResult)
    }

    @Test
    fun brokenStreamThatIsNotResumableIsAborted() {
        val submitted = startStream()
        val call = fixture.upstreams.receivedCalls.single()
        call.head(200)
        call.content("id: 1\ndata: a\n\n")
        call.fail(sent = true)
        assertTrue(submitted.reply.isAborted)
        assertEquals(1, fixture.upstreams.receivedCalls.size)
    }

    @Test
    fun failedStreamThatIsNotResumableIsRefusedAsAnswerLost() {
        val submitted = startStream()
        fixture.upstreams.receivedCalls.single().fail(sent = true)
        assertEquals(RefusalReason.ANSWER_LOST, submitted.reply.refusal?.reason)
    }

    @Test
    fun resumableStreamContinuesAfterItsLastCompleteEvent() {
        val submitted = startStream("/stream-on/1")
        val first = fixture.upstreams.receivedCalls.single()
        first.head(200)
        first.content("id: 1\ndata: a\n\nid: 2\nda")
        first.fail(sent = true)
        fixture.scheduler.advance(200.milliseconds)
        val second = fixture.upstreams.receivedCalls[1]
        assertEquals(EventId("1"), second.attempt.resumeAfterEventId)
        second.head(200)
        second.content("id: 2\ndata: b\n\n")
        fixture.upstreams.finish(second)
        assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", submitted.reply.body.toString())
        assertTrue(submitted.reply.isComplete)
    }

    /**
     * Guards against streams in which pieces come twice or are missing, since the id after which they were resumed was
     * found in their text. Load pattern: engines that crash while they write text.
     */
    @Test
    fun streamIsResumedAfterTheIdOfItsLastEventAndAfterNoTextLikeIt() {
        data class Case(val text: String, val next: String)
        listOf(
            Case("id: 7\ndata: clone written \u2705id: 1\n\n", "resumed after 7"),
            Case("id: 7\ndata: \u0445id: 12\ndata: \u0645id: 1\n\n", "resumed after 7"),
            Case("id: 7\ndata: \u2028id: 1\u2029id: 2\n\n", "resumed after 7"),
            Case("id: 7\ndata: a\n\nid: 8\ndata: b\n\n", "resumed after 8"),
            Case("id: 007\ndata: a\n\n", "resumed after 007"),
            Case("id: 98765432109876543210\ndata: a\n\n", "resumed after 98765432109876543210"),
            Case("id: run-7\ndata: a\n\n", "resumed after run-7"),
            Case("id: 7\ndata: a\n\ndata: without id\n\n", "aborted"),
            Case("id: 7\ndata: a\n\nid\ndata: b\n\n", "aborted"),
        ).forEach { case ->
            val fixture = ForwardFixture()
            val reply = fixture.submit("/stream-on/1").reply
            fixture.scheduler.advance(150.milliseconds)
            val call = fixture.upstreams.receivedCalls.single()
            call.head(200)
            call.content(case.text)
            call.fail(sent = true)
            fixture.scheduler.advance(200.milliseconds)
            val second = fixture.upstreams.receivedCalls.getOrNull(1)
            val next = second?.let { "resumed after ${it.attempt.resumeAfterEventId}" }
            assertEquals(case.next, next ?: if (reply.isAborted) "aborted" else "open", "$case")
            assertEquals(case.text, reply.body.toString(), "$case")
        }
    }

    /** An upstream can end an answer without a length anywhere, and by crashing. */
    @Test
    fun streamThatEndsWithinAnEventIsNotPassedOnAsComplete() {
        data class Case(val target: String, val isUnframed: Boolean, val body: String, val outcome: String)
        val whole = "id: 1\ndata: a\n\n"
        listOf(
            Case("/stream/1", isUnframed = true, whole, "complete"),
            Case("/stream/1", isUnframed = true, whole + "id: 2\nda", "aborted"),
            Case("/stream/1", isUnframed = true, whole + "id: 2\n", "aborted"),
            Case("/stream/1", isUnframed = true, "", "aborted"),
            Case("/stream/1", isUnframed = false, whole + "id: 2\nda", "aborted"),
            Case("/stream/1", isUnframed = false, whole, "complete"),
            Case("/stream-on/1", isUnframed = true, whole, "complete"),
            Case("/stream-on/1", isUnframed = true, whole + "id: 2\nda", "resumed after 1"),
            Case("/stream-on/1", isUnframed = true, "id: 1\nda", "resumed after null"),
            Case("/stream-on/1", isUnframed = true, "", "resumed after null"),
            Case("/stream-on/1", isUnframed = false, whole + "id: 2\nda", "resumed after 1"),
        ).forEach { case ->
            fixture.upstreams.receivedCalls.clear()
            val reply = startStream(case.target).reply
            val call = fixture.upstreams.receivedCalls.single()
            call.head(200, endsWithConnection = case.isUnframed)
            if (case.body.isNotEmpty()) call.content(case.body)
            fixture.upstreams.finish(call)
            fixture.scheduler.advance(200.milliseconds)
            val resumed = fixture.upstreams.receivedCalls.getOrNull(1)
            val outcome = when {
                resumed != null -> "resumed after ${resumed.attempt.resumeAfterEventId}"
                reply.isComplete -> "complete"
                else -> if (reply.isAborted) "aborted" else "open"
            }
            assertEquals(case.outcome, outcome, "$case")
            resumed?.let {
                it.head(200)
                it.content("id: 2\ndata: b\n\n")
                fixture.upstreams.finish(it)
                val begun = if (whole in case.body) whole else ""
                assertEquals(begun + "id: 2\ndata: b\n\n", reply.body.toString(), "$case")
            }
            fixture.scheduler.advance(20.seconds)
        }
    }

    /** The error's text, or its head, must not stand in the middle of a begun stream, nor end it as complete. */
    @Test
    fun errorOfTheNextEngineIsNotWrittenIntoABegunStream() {
        data class Case(val status: Int, val isDeclined: Boolean, val body: String, val isUnframed: Boolean)
        listOf(
            Case(500, isDeclined = false, "overloaded", isUnframed = false),
            Case(504, isDeclined = false, "", isUnframed = false),
            Case(503, isDeclined = true, "full", isUnframed = false),
            Case(404, isDeclined = false, "id: 9\ndata: x\n\n", isUnframed = true),
        ).forEach { case ->
            val fixture = ForwardFixture()
            val reply = fixture.submit("/stream-on/1").reply
            fixture.scheduler.advance(150.milliseconds)
            val first = fixture.upstreams.receivedCalls.single()
            first.head(200)
            first.content("id: 1\ndata: a\n\nid: 2")
            first.fail(sent = true)
            fixture.scheduler.advance(200.milliseconds)
            val next = fixture.upstreams.receivedCalls[1]
            next.head(case.status, case.isDeclined, endsWithConnection = case.isUnframed)
            if (case.body.isNotEmpty()) next.content(case.body)
            fixture.upstreams.finish(next)
            fixture.scheduler.advance(20.seconds)
            assertEquals("id: 1\ndata: a\n\n", reply.body.toString(), "$case")
            assertEquals(true, reply.isAborted, "$case")
        }
    }

    /**
     * Guards against a promise that nobody made: an engine that ran the request answers with a status by which callers
     * take it for not run, and send it once more. Load pattern: engines that fail part of what they run.
     */
    @Test
    fun statusAfterARunIsNoPromiseToTheCaller() {
        data class Case(val target: String, val status: Int, val isDeclined: Boolean, val outcome: String)
        val promises = listOf(408, 429, 503)
        val cases = promises.flatMap { status ->
            listOf(
                Case("/stream/1", status, isDeclined = false, "refused: ANSWER_LOST after 1"),
                Case("/stream/1", status, isDeclined = true, "refused: OVERLOADED after 3"),
                Case("/stream-on/1", status, isDeclined = false, "passed on: $status after 2"),
            )
        } + listOf(400, 500, 502).map { Case("/stream/1", it, isDeclined = false, "passed on: $it after 1") }
        cases.forEach { case ->
            val fixture = ForwardFixture(memory = 1_000_000)
            val reply = fixture.submit(case.target).reply
            repeat(3) { attempt ->
                fixture.scheduler.advance(300.milliseconds)
                val call = fixture.upstreams.receivedCalls.getOrNull(attempt)
                call?.head(case.status, case.isDeclined)
                call?.content("failed after the write")
                call?.end()
            }
            val calls = fixture.upstreams.receivedCalls.size
            val outcome = reply.refusal?.let { "refused: ${it.reason}" } ?: "passed on: ${reply.head?.status}"
            assertEquals(case.outcome, "$outcome after $calls", "$case")
            assertTrue(reply.isFinal && !reply.isAborted, "$case")
            assertEquals(0, fixture.forwarder.openRequests, "$case")
        }
    }

    /**
     * Guards against error answers whose text is held back as an event that has not ended, and against estimates that
     * learn from them. Load pattern: engines that answer streams with errors.
     */
    @Test
    fun errorAnswerIsPassedOnWholeAndIsNoStream() {
        data class Case(val target: String, val isUnframed: Boolean, val attempts: Int)
        listOf(
            Case("/stream-on/1", isUnframed = false, attempts = 2),
            Case("/stream-on/1", isUnframed = true, attempts = 2),
            Case("/stream/1", isUnframed = false, attempts = 1),
            Case("/stream/1", isUnframed = true, attempts = 1),
        ).forEach { case ->
            val fixture = ForwardFixture(memory = 1_000_000)
            val reply = fixture.submit(case.target).reply
            repeat(case.attempts) { attempt ->
                fixture.scheduler.advance(300.milliseconds)
                val call = fixture.upstreams.receivedCalls[attempt]
                call.head(500, endsWithConnection = case.isUnframed)
                call.content("no model\nis loaded")
                call.end()
            }
            fixture.scheduler.advance(300.milliseconds)
            assertEquals(500 to "no model\nis loaded", reply.head?.status to reply.body.toString(), "$case")
            assertTrue(reply.isComplete, "$case")
            val detail = fixture.events.last { it.kind == EventKind.REQUEST_ENDED }.detail.orEmpty()
            listOf("answered with an error", "events=0").forEach { assertTrue(it in detail, "$it in: $detail") }
        }
    }

    /** The silence timer of a failed attempt must not end the next attempt, which is the last one allowed. */
    @Test
    fun lastAttemptOfAResumableStreamIsNotCancelledForSilence() {
        val submitted = startStream("/stream-on/1")
        fixture.upstreams.receivedCalls.single().fail(sent = true)
        fixture.scheduler.advance(300.milliseconds)
        val last = fixture.upstreams.receivedCalls[1]
        fixture.scheduler.advance(3.seconds)
        assertFalse(last.isCancelled)
        assertEquals(2, fixture.upstreams.receivedCalls.size)
        assertFalse(submitted.reply.isFinal)
    }

    /** Load pattern: an engine that sends bytes without ever ending an event. */
    @Test
    fun endlessEventIsCancelled() {
        startStream("/stream-on/1")
        val first = fixture.upstreams.receivedCalls.single()
        first.head(200)
        repeat(300) { first.content("x".repeat(1_024)) }
        fixture.scheduler.advance(200.milliseconds)
        assertTrue(first.isCancelled)
        assertEquals(2, fixture.upstreams.receivedCalls.size)
    }

    @Test
    fun successWithoutProofIsNotPassedOn() {
        val submitted = startStream()
        fixture.upstreams.receivedCalls.single().head(200, isGenuine = false)
        assertEquals(RefusalReason.ANSWER_LOST, submitted.reply.refusal?.reason)
        assertNull(submitted.reply.head)
    }

    @Test
    fun callerDisconnectAtAnyStepReleasesEverything() {
        listOf(0, 50, 150).forEach { milliseconds ->
            val fixture = ForwardFixture()
            val submitted = fixture.submit("/stream/1")
            fixture.scheduler.advance(milliseconds.milliseconds)
            submitted.handle?.onCallerDisconnected()
            fixture.scheduler.advance(1.seconds)
            assertEquals(0, fixture.upstreams.receivedCalls.count { !it.isCancelled }, "after $milliseconds ms")
            val usedReservations = if (fixture.upstreams.receivedCalls.isEmpty()) 0 else 1
            assertEquals(usedReservations, fixture.upstreams.reservations, "after $milliseconds ms")
        }
    }

    /** Answers need time to be written before the process is terminated. A stream runs on until then, also in silence. */
    @Test
    fun openRequestsAreAnsweredBeforeTheProcessIsTerminated() {
        data class Case(val target: String, val grace: Duration, val refusal: RefusalReason?, val calls: Int = 1)
        listOf(
            Case("/action/1", 8.seconds, RefusalReason.TIMEOUT),
            Case("/lookup/1", 8.seconds, RefusalReason.TIMEOUT, calls = 2),
            Case("/stream/1", 8.seconds, refusal = null),
            Case("/stream-on/1", 1_900.milliseconds, refusal = null),
            Case("/stream/1", 600.milliseconds, RefusalReason.LEAVING, calls = 0),
        ).forEach { case ->
            val fixture = ForwardFixture(memory = 10_000 * case.calls)
            val submitted = fixture.submit(case.target)
            fixture.forwarder.drain(case.grace)
            fixture.scheduler.advance(150.milliseconds)
            if (case.refusal == null) fixture.upstreams.receivedCalls.single().head(200)
            fixture.scheduler.advance(case.grace * 0.8 - 150.milliseconds)
            assertFalse(submitted.reply.isFinal, "$case")
            fixture.scheduler.advance(case.grace * 0.14)
            assertEquals(case.refusal, submitted.reply.refusal?.reason, "$case")
            assertEquals(case.refusal == null, submitted.reply.isAborted, "$case")
            assertEquals(case.calls, fixture.upstreams.receivedCalls.size, "$case")
            assertEquals(RefusalReason.LEAVING, fixture.submit("/lookup/1", 1.seconds).reply.refusal?.reason, "$case")
        }
    }

    @Test
    fun streamsAreRefusedLateInADrain() {
        fixture.forwarder.drain(gracePeriod = 60.seconds)
        assertNotNull(fixture.submit("/stream/1").handle)
        fixture.scheduler.advance(3.seconds)
        assertEquals(RefusalReason.LEAVING, fixture.submit("/stream/1").reply.refusal?.reason)
        assertNotNull(fixture.submit("/action/1").handle)
    }
}
