package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Load pattern: a crest whose refused callers come back when they can only be served late. */
class CallerPatienceTest {
    private val start = Moment(0)

    /** Ten submissions, the shortest of them [shortest], which spread over a second. */
    private fun learned(shortest: Duration) = CallerPatience().also { patience ->
        repeat(10) { patience.arrived(shortest + 1.seconds * it / 9, start) }
    }

    @Test
    fun requestThatLeavesLessThanAnyFirstSubmissionCameBefore() {
        data class Case(val wait: Duration, val elapsed: Duration)
        listOf(
            Case(wait = 9.seconds, elapsed = 2_900.milliseconds),
            Case(wait = 12.seconds, elapsed = Duration.ZERO),
            Case(wait = 13.seconds, elapsed = Duration.ZERO),
            Case(wait = 60.seconds, elapsed = Duration.ZERO),
        ).forEach { case ->
            assertEquals(case.elapsed, learned(12.seconds).elapsed(case.wait), "$case")
        }
    }

    @Test
    fun nothingIsConcludedFromAFewSubmissions() {
        val patience = CallerPatience()
        repeat(3) { patience.arrived(12.seconds, start) }
        assertEquals(Duration.ZERO, patience.elapsed(1.seconds))
    }

    @Test
    fun fewSubmissionsThatLieFarApartTellLittle() {
        data class Case(val submissions: Int, val elapsed: Duration)
        listOf(Case(4, 2_500.milliseconds), Case(20, 2_900.milliseconds)).forEach { case ->
            val patience = CallerPatience()
            repeat(case.submissions) { patience.arrived(if (it == 0) 12.seconds else 14.seconds, start) }
            assertEquals(case.elapsed, patience.elapsed(9.seconds), "$case")
        }
    }

    @Test
    fun waitsAreNotLearnedWhileCallersMayHaveComeBack() {
        val patience = learned(12.seconds)
        patience.refused(start)
        patience.arrived(5.seconds, start + 5.seconds)
        assertEquals(2_900.milliseconds, patience.elapsed(9.seconds))
        patience.arrived(5.seconds, start + 6.seconds)
        assertEquals(Duration.ZERO, patience.elapsed(9.seconds))
    }

    /** Callers of a route change; the shortest wait of long ago must not hold for ever. */
    @Test
    fun oldWaitsAreForgotten() {
        val patience = learned(2.seconds)
        repeat(800) { patience.arrived(12.seconds, start) }
        assertEquals(3.seconds, patience.elapsed(9.seconds))
    }

    @Test
    fun lateCallersAreServedWhileThereIsMemoryAndRefusedWhileItIsShort() {
        val world = ForwardWorld(memory = 8_000)
        repeat(8) {
            world.submit("/stream/first", wait = 10.seconds)
            world.scheduler.advance(150.milliseconds)
            world.upstreams.runs.last().let { run ->
                run.head(200)
                world.upstreams.finish(run)
            }
        }
        repeat(4) { world.submit("/stream/fill", wait = 10.seconds) }
        val waiting = world.submit("/stream/waits", wait = 10.seconds)
        world.scheduler.advance(150.milliseconds)
        val late = world.submit("/stream/late", wait = 7.seconds)
        assertEquals(RefusalReason.OVERLOADED, assertNotNull(late.reply.refusal).reason)
        assertNull(waiting.reply.refusal, "it can still be served in time")
        val rest = world.submit("/stream/rest", wait = 7.seconds, resumeAfter = 3)
        assertNull(rest.reply.refusal, "it has a part of its answer")
        world.upstreams.runs.takeLast(4).forEach { run ->
            run.head(200)
            world.upstreams.finish(run)
        }
        world.scheduler.advance(800.milliseconds)
        val later = world.submit("/stream/late", wait = 7.seconds)
        world.scheduler.advance(150.milliseconds)
        assertNull(later.reply.refusal, "there is memory")
    }
}
