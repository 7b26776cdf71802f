package org.lovageladder.core.forward

import org.lovageladder.core.Address
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Courses of token streams: memory, prefill, decode, and what callers get when a step fails. */
class StreamFlowTest {
    private val world = ForwardWorld()

    private fun started(target: String = "/stream/1"): ForwardWorld.Submitted {
        val submitted = world.submit(target)
        world.scheduler.advance(150.milliseconds)
        return submitted
    }

    @Test
    fun memoryIsReservedThenThePromptReadThenDecoded() {
        val submitted = started()
        val run = world.upstreams.runs.single()
        assertNotNull(run.sending.reservation)
        assertNotNull(run.sending.prefill)
        run.head(200)
        run.content("id: 1\ndata: a\n\n")
        run.content("id: 2\ndata: b\n\n")
        world.upstreams.finish(run)
        assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", submitted.reply.body.toString())
        assertTrue(submitted.reply.whole)
    }

    @Test
    fun engineThatDeclinesGivesWayToAnother() {
        val submitted = started()
        world.upstreams.runs.single().answer(503, notRun = true)
        assertEquals(1, world.upstreams.freed.size)
        world.scheduler.advance(150.milliseconds)
        val second = world.upstreams.runs[1]
        assertFalse(second.sending.upstream == world.upstreams.runs[0].sending.upstream)
        second.head(200)
        world.upstreams.finish(second)
        assertTrue(submitted.reply.whole)
    }

    /** Load pattern: connections fall silent for good, without a reset. */
    @Test
    fun resumableStreamLeavesASilentUpstreamAndOthersWaitForIt() {
        data class Case(val target: String, val runs: Int)
        listOf(Case("/stream-on/1", runs = 2), Case("/stream/1", runs = 1)).forEach { case ->
            val fresh = ForwardWorld()
            val submitted = fresh.submit(case.target)
            fresh.scheduler.advance(200.milliseconds)
            val first = fresh.upstreams.runs.single()
            first.head(200)
            first.content("id: 1\ndata: a\n\n")
            fresh.scheduler.advance(2.seconds)
            assertEquals(case.runs, fresh.upstreams.runs.size, "$case")
            assertEquals(case.runs == 2, first.cancelled, "$case")
            assertEquals(if (case.runs == 2) 1L else null, fresh.upstreams.runs.last().sending.resumeAfter, "$case")
            assertFalse(submitted.reply.final, "$case")
        }
    }

    /** Load pattern: one engine declines every prompt at once and so seems free, while others are busy. */
    @Test
    fun engineThatDeclinesEveryPromptDrawsFewOfThem() {
        val spare = ForwardWorld.member("prefill-2", ForwardWorld.ENGINES, org.lovageladder.core.PoolRole.PREFILL, 9)
        world.forwarder.registryChanged(RegistryChange.Written(spare))
        world.upstreams.prefillRefusals += spare.address
        repeat(100) {
            world.submit("/stream/1").also { world.scheduler.advance(20.milliseconds) }.open?.callerLeft()
        }
        val declined = world.upstreams.prefills.count { it.address == spare.address }
        assertTrue(declined <= 8, "$declined of ${world.upstreams.prefills.size}")
    }

    /**
     * Load pattern: engines that decline prompts, or decline what they reserved memory for. All that reaches an engine
     * counts, but the first prompt of a request that an engine reads; beyond one for each request it is a repeat.
     */
    @Test
    fun allThatReachesEnginesBeyondOneForEachRequestIsWithinTheBudget() {
        data class Case(val decodeDeclines: Boolean, val prefillDeclines: Boolean)
        listOf(
            Case(decodeDeclines = true, prefillDeclines = false),
            Case(decodeDeclines = false, prefillDeclines = true),
            Case(decodeDeclines = true, prefillDeclines = true),
        ).forEach { case ->
            val fresh = ForwardWorld(memory = 1_000_000)
            if (case.prefillDeclines) fresh.upstreams.prefillRefusals += Address("10.0.0.1", 3)
            val requests = 40
            repeat(requests) {
                val before = fresh.upstreams.runs.size
                fresh.submit("/stream/1")
                fresh.scheduler.advance(110.milliseconds)
                if (case.decodeDeclines) fresh.upstreams.runs.drop(before).forEach { it.answer(503, notRun = true) }
                fresh.scheduler.advance(110.milliseconds)
            }
            val read = if (case.prefillDeclines) 0 else requests
            val repeats = fresh.upstreams.runs.size + fresh.upstreams.prefills.size - read - requests
            assertTrue(repeats <= 0.2 * requests + 8, "$case: $repeats repeats")
        }
    }

    @Test
    fun decodeEngineReadsThePromptWhenNoPrefillEngineDoes() {
        world.upstreams.prefillRefusals += ForwardWorld.MEMBERS.first { it.name.text == "prefill-1" }.address
        started()
        assertNull(world.upstreams.runs.single().sending.prefill)
    }

    @Test
    fun streamThatMayNotBeRepeatedIsBrokenOffVisibly() {
        val submitted = started()
        val run = world.upstreams.runs.single()
        run.head(200)
        run.content("id: 1\ndata: a\n\n")
        run.fail(sent = true)
        assertTrue(submitted.reply.aborted)
        assertEquals(1, world.upstreams.runs.size)
    }

    @Test
    fun streamThatMayNotBeRepeatedHasNoPromiseOnceSent() {
        val submitted = started()
        world.upstreams.runs.single().fail(sent = true)
        assertEquals(RefusalReason.ANSWER_LOST, submitted.reply.refusal?.reason)
    }

    @Test
    fun resumableStreamGoesOnAfterItsLastWholeEvent() {
        val submitted = started("/stream-on/1")
        val first = world.upstreams.runs.single()
        first.head(200)
        first.content("id: 1\ndata: a\n\nid: 2\nda")
        first.fail(sent = true)
        world.scheduler.advance(200.milliseconds)
        val second = world.upstreams.runs[1]
        assertEquals(1, second.sending.resumeAfter)
        second.head(200)
        second.content("id: 2\ndata: b\n\n")
        world.upstreams.finish(second)
        assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", submitted.reply.body.toString())
        assertTrue(submitted.reply.whole)
    }

    /** The watch for silence of a run that broke must not end the next run, which has no attempt after it. */
    @Test
    fun lastAttemptOfAResumableStreamIsNotLeftForSilence() {
        val submitted = started("/stream-on/1")
        world.upstreams.runs.single().fail(sent = true)
        world.scheduler.advance(300.milliseconds)
        val last = world.upstreams.runs[1]
        world.scheduler.advance(3.seconds)
        assertFalse(last.cancelled)
        assertEquals(2, world.upstreams.runs.size)
        assertFalse(submitted.reply.final)
    }

    /** Load pattern: an engine that sends bytes without the end of an event. */
    @Test
    fun eventWithoutEndIsLeft() {
        started("/stream-on/1")
        val first = world.upstreams.runs.single()
        first.head(200)
        repeat(300) { first.content("x".repeat(1_024)) }
        world.scheduler.advance(200.milliseconds)
        assertTrue(first.cancelled)
        assertEquals(2, world.upstreams.runs.size)
    }

    @Test
    fun successWithoutProofIsNotPassedOn() {
        val submitted = started()
        world.upstreams.runs.single().head(200, genuine = false)
        assertEquals(RefusalReason.ANSWER_LOST, submitted.reply.refusal?.reason)
        assertNull(submitted.reply.head)
    }

    @Test
    fun nothingStaysHeldWhenTheCallerLeavesAtAnyStep() {
        listOf(0, 50, 150).forEach { milliseconds ->
            val world = ForwardWorld()
            val submitted = world.submit("/stream/1")
            world.scheduler.advance(milliseconds.milliseconds)
            submitted.open?.callerLeft()
            world.scheduler.advance(1.seconds)
            val running = world.upstreams.runs.count { !it.cancelled }
            assertEquals(0, running, "after $milliseconds ms")
            val unused = if (world.upstreams.runs.isEmpty()) 0 else 1
            assertEquals(unused, world.upstreams.reservations, "after $milliseconds ms")
        }
    }

    @Test
    fun streamsAreNotTakenLateInADrain() {
        world.forwarder.drain(grace = 60.seconds)
        assertNotNull(world.submit("/stream/1").open)
        world.scheduler.advance(3.seconds)
        assertEquals(RefusalReason.LEAVING, world.submit("/stream/1").reply.refusal?.reason)
        assertNotNull(world.submit("/action/1").open)
    }
}
