package org.lovageladder.core.forward

import org.lovageladder.core.ProcessName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Courses of requests to a plain service, as tables of what upstreams do and what the caller then gets. */
class PlainFlowTest {
    /** What one upstream does with a request. */
    private enum class Behaviour(val act: (ReceivedCall) -> Unit) {
        ANSWERS({ it.answer(200, "done") }),
        ERRS({ it.answer(500, "error") }),
        DECLINES({ it.answer(503, notRun = true) }),
        LOSES_ANSWER({ it.fail(sent = true) }),
        CUTS_ANSWER({
            it.head(200)
            it.content("do")
            it.fail(sent = true)
        }),
        UNPROVEN({ it.answer(200, "done", genuine = false) }),
        SAYS_OTHER_INSTANCE({
            it.head(421, notRun = true, wrongInstance = true)
            it.end()
        }),
    }

    private data class Case(
        val target: String,
        val behaviours: List<Behaviour>,
        val status: Int? = null,
        val refusal: RefusalReason? = null,
        val sendings: Int,
    )

    private val cases =
        listOf(
            Case("/action/1", listOf(Behaviour.ANSWERS), status = 200, sendings = 1),
            Case("/action/1", listOf(Behaviour.ERRS), status = 500, sendings = 1),
            Case("/action/1", listOf(Behaviour.DECLINES, Behaviour.ANSWERS), status = 200, sendings = 2),
            Case("/action/1", listOf(Behaviour.LOSES_ANSWER), refusal = RefusalReason.ANSWER_LOST, sendings = 1),
            Case("/action/1", listOf(Behaviour.CUTS_ANSWER), refusal = RefusalReason.ANSWER_LOST, sendings = 1),
            Case("/action/1", listOf(Behaviour.UNPROVEN), refusal = RefusalReason.ANSWER_LOST, sendings = 1),
            Case("/action/1", listOf(Behaviour.SAYS_OTHER_INSTANCE, Behaviour.ANSWERS), status = 200, sendings = 2),
            Case("/lookup/1", listOf(Behaviour.LOSES_ANSWER, Behaviour.ANSWERS), status = 200, sendings = 2),
            Case("/lookup/1", listOf(Behaviour.UNPROVEN, Behaviour.ANSWERS), status = 200, sendings = 2),
            Case("/lookup/1", listOf(Behaviour.ERRS, Behaviour.ANSWERS), status = 200, sendings = 2),
            Case("/lookup/1", listOf(Behaviour.ERRS, Behaviour.ERRS), status = 500, sendings = 2),
        )

    @Test
    fun callerGetsOneAnswerForWhatUpstreamsDo() {
        cases.forEach { case ->
            val world = ForwardWorld()
            val submitted = world.submit(case.target)
            case.behaviours.forEachIndexed { index, behaviour -> behaviour.act(world.upstreams.runs[index]) }
            assertEquals(case.sendings, world.upstreams.runs.size, "$case")
            assertEquals(case.status, submitted.reply.head?.status, "$case")
            assertEquals(case.refusal, submitted.reply.refusal?.reason, "$case")
            assertTrue(submitted.reply.final, "$case")
            assertEquals(0, world.forwarder.open, "$case")
        }
    }

    @Test
    fun actionIsSentElsewhereOnlyWhenItCertainlyDidNotReachTheFirst() {
        val world = ForwardWorld()
        world.upstreams.unreachable +=
            ForwardWorld.MEMBERS.filter { it.service == ForwardWorld.PLAIN }.map { it.address }
        val submitted = world.submit("/action/1")
        world.scheduler.advance(1.seconds)
        assertEquals(RefusalReason.NO_UPSTREAM, submitted.reply.refusal?.reason)
        assertTrue(world.upstreams.runs.isEmpty())
    }

    @Test
    fun silentActionEndsAtItsRouteTimeoutWithoutPromise() {
        val world = ForwardWorld()
        val submitted = world.submit("/action/1", wait = 60.seconds)
        world.scheduler.advance(9.seconds)
        assertNull(submitted.reply.refusal)
        world.scheduler.advance(1.seconds)
        assertEquals(RefusalReason.TIMEOUT, submitted.reply.refusal?.reason)
        assertTrue(world.upstreams.runs.single().cancelled)
    }

    @Test
    fun slowLookupGetsASecondTryBesideAndTheFirstAnswerWins() {
        val world = ForwardWorld()
        val submitted = world.submit("/lookup/1")
        world.scheduler.advance(70.milliseconds)
        assertEquals(2, world.upstreams.runs.size)
        world.upstreams.runs[1].answer(200, "done")
        assertEquals("done", submitted.reply.body.toString())
        assertTrue(world.upstreams.runs[0].cancelled)
    }

    @Test
    fun slowActionGetsNoSecondTry() {
        val world = ForwardWorld()
        world.submit("/action/1")
        world.scheduler.advance(5.seconds)
        assertEquals(1, world.upstreams.runs.size)
    }

    @Test
    fun workEndsWhenTheCallerLeaves() {
        val world = ForwardWorld()
        val submitted = world.submit("/action/1")
        submitted.open?.callerLeft()
        assertTrue(world.upstreams.runs.single().cancelled)
        assertEquals(0, world.forwarder.open)
    }

    /** Callers that keep their connection busy are not sent elsewhere by the balancer. */
    @Test
    fun drainingProcessTakesOnlyWhatItSurelyFinishes() {
        data class Case(val after: Duration, val wait: Duration, val taken: Boolean)
        val cases =
            listOf(
                Case(1.seconds, 3.seconds, taken = true),
                Case(5_100.milliseconds, 3.seconds, taken = false),
                Case(5_100.milliseconds, 600.milliseconds, taken = true),
                Case(7_800.milliseconds, 600.milliseconds, taken = false),
            )
        cases.forEach { case ->
            val world = ForwardWorld()
            world.forwarder.drain(grace = 8.seconds)
            world.scheduler.advance(case.after)
            val submitted = world.submit("/action/1", wait = case.wait)
            assertEquals(case.taken, submitted.open != null, "$case")
            assertEquals(!case.taken, submitted.reply.refusal?.reason == RefusalReason.LEAVING, "$case")
        }
    }

    @Test
    fun deadlinePassedOnIsWhatIsLeft() {
        val world = ForwardWorld()
        world.submit("/lookup/1", wait = 600.milliseconds)
        world.scheduler.advance(60.milliseconds)
        assertEquals(listOf(600.milliseconds, 540.milliseconds), world.upstreams.runs.map { it.sending.timeout })
    }

    /** Load pattern: upstreams that send bytes without end, beside callers of sound ones. */
    @Test
    fun endlessAnswersHoldBoundedMemoryAndDoNotHinderOthers() {
        val world = ForwardWorld()
        val endless = List(20) { world.submit("/action/1") }
        val endlessRuns = world.upstreams.runs.toList()
        val part = "x".repeat(64 * 1024)
        repeat(40) { endlessRuns.forEach { it.content(part) } }
        endless.forEach { assertEquals(RefusalReason.ANSWER_LOST, it.reply.refusal?.reason) }
        assertTrue(endlessRuns.all { it.cancelled })

        val other = world.submit("/lookup/1")
        world.upstreams.runs.last().answer(200, "y".repeat(100_000))
        assertEquals(100_000, other.reply.body.length)
    }

    @Test
    fun smallAnswersPassWhileLargeOnesFillTheMemory() {
        val buffers = AnswerBuffers(each = 100_000, all = 200_000)
        val large = List(3) { buffers.open() }
        assertEquals(listOf(true, true, false), large.map { it.add(ByteArray(99_000)) })
        assertTrue(buffers.open().add(ByteArray(1_000)))
        assertFalse(buffers.open().add(ByteArray(20_000)))
        large.first().drop()
        assertTrue(buffers.open().add(ByteArray(20_000)))
    }

    /** Load pattern: many callers at once, and entries that share an upstream's connections. */
    @Test
    fun connectionLimitIsSharedAmongEntriesAndItsAbsenceIsNoLimit() {
        data class Case(val connections: Int?, val entries: Int, val running: Int)
        listOf(
            Case(connections = 20, entries = 4, running = 2 * 4),
            Case(connections = 20, entries = 1, running = 2 * 12),
            Case(connections = 20, entries = 30, running = 2 * 1),
            Case(connections = null, entries = 4, running = 2 * 12),
        ).forEach { case ->
            val world = ForwardWorld()
            world.forwarder.configure(ForwardWorld.configuration(version = 2, plainConnections = case.connections))
            repeat(case.entries) { number ->
                world.forwarder.registryChanged(
                    RegistryChange.EntrySeen(ProcessName("entry-$number"), registered = true),
                )
            }
            repeat(60) { world.submit("/action/1") }
            assertEquals(case.running, world.upstreams.runs.size, "$case")
        }
    }
}
