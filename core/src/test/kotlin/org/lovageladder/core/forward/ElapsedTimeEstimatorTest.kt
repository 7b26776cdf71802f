package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Load pattern: a load peak whose refused callers return when they can only be served late. */
class ElapsedTimeEstimatorTest {
    private val start = Moment(0)

    /** Estimator after ten submissions whose remaining times spread over a second, with [shortest] as the minimum. */
    private fun estimatorWithMinimum(shortest: Duration) = ElapsedTimeEstimator().also { estimator ->
        repeat(10) { estimator.recordArrival(shortest + 1.seconds * it / 9, start) }
    }

    @Test
    fun requestWithLessTimeThanAnyFirstSubmissionIsResubmitted() {
        data class Case(val wait: Duration, val elapsed: Duration)
        listOf(
            Case(wait = 9.seconds, elapsed = 2_900.milliseconds),
            Case(wait = 12.seconds, elapsed = Duration.ZERO),
            Case(wait = 13.seconds, elapsed = Duration.ZERO),
            Case(wait = 60.seconds, elapsed = Duration.ZERO),
        ).forEach { case ->
            assertEquals(case.elapsed, estimatorWithMinimum(12.seconds).minimumElapsed(case.wait), "$case")
        }
    }

    @Test
    fun elapsedTimeIsZeroWithTooFewSamples() {
        val estimator = ElapsedTimeEstimator()
        repeat(3) { estimator.recordArrival(12.seconds, start) }
        assertEquals(Duration.ZERO, estimator.minimumElapsed(1.seconds))
    }

    @Test
    fun fewSamplesWithAWideSpreadLowerTheMinimum() {
        data class Case(val submissions: Int, val elapsed: Duration)
        listOf(Case(4, 2_500.milliseconds), Case(20, 2_900.milliseconds)).forEach { case ->
            val estimator = ElapsedTimeEstimator()
            repeat(case.submissions) { estimator.recordArrival(if (it == 0) 12.seconds else 14.seconds, start) }
            assertEquals(case.elapsed, estimator.minimumElapsed(9.seconds), "$case")
        }
    }

    @Test
    fun arrivalsAfterARefusalAreNotSampled() {
        val estimator = estimatorWithMinimum(12.seconds)
        estimator.recordRefusal(start)
        estimator.recordArrival(5.seconds, start + 5.seconds)
        assertEquals(2_900.milliseconds, estimator.minimumElapsed(9.seconds))
        estimator.recordArrival(5.seconds, start + 6.seconds)
        assertEquals(Duration.ZERO, estimator.minimumElapsed(9.seconds))
    }

    /** The callers of a route change, so an old minimum must not apply for ever. */
    @Test
    fun samplesOfOldWindowsAreDropped() {
        val estimator = estimatorWithMinimum(2.seconds)
        repeat(800) { estimator.recordArrival(12.seconds, start) }
        assertEquals(3.seconds, estimator.minimumElapsed(9.seconds))
    }

    @Test
    fun lateCallersAreRefusedOnlyUnderMemoryPressure() {
        val fixture = ForwardFixture(memory = 8_000)
        repeat(8) {
            fixture.submit("/stream/first", callerTimeout = 10.seconds)
            fixture.scheduler.advance(150.milliseconds)
            fixture.upstreams.receivedCalls.last().let { call ->
                call.head(200)
                fixture.upstreams.finish(call)
            }
        }
        repeat(4) { fixture.submit("/stream/fill", callerTimeout = 10.seconds) }
        val waitingCaller = fixture.submit("/stream/waits", callerTimeout = 10.seconds)
        fixture.scheduler.advance(150.milliseconds)
        val lateCaller = fixture.submit("/stream/late", callerTimeout = 7.seconds)
        assertEquals(RefusalReason.OVERLOADED, assertNotNull(lateCaller.reply.refusal).reason)
        assertNull(waitingCaller.reply.refusal, "this request can still be served in time")
        val resumingCaller = fixture.submit(
            "/stream/rest",
            callerTimeout = 7.seconds,
            resumeAfterEventId = EventId("3"),
        )
        assertNull(resumingCaller.reply.refusal, "this caller has received part of its answer")
        fixture.upstreams.receivedCalls.takeLast(4).forEach { call ->
            call.head(200)
            fixture.upstreams.finish(call)
        }
        fixture.scheduler.advance(800.milliseconds)
        val lateCallerWithoutPressure = fixture.submit("/stream/late", callerTimeout = 7.seconds)
        fixture.scheduler.advance(150.milliseconds)
        assertNull(lateCallerWithoutPressure.reply.refusal, "there is free memory")
    }
}
