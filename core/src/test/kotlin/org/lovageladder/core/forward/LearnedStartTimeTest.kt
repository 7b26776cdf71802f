package org.lovageladder.core.forward

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Streams while engines are slow to start, and after it. */
class LearnedStartTimeTest {
    /**
     * Guards against a service that is refused for ever once its streams were slow to start. Load pattern: ten streams
     * a second; engines take a while to the first event for some seconds, then none.
     */
    @Test
    fun idleEnginesServeAgainWithinTwoSecondsOfSlowStarts() {
        data class Case(val target: Duration, val slowStart: Duration, val slowFor: Duration)
        val targets = listOf(50.milliseconds, 200.milliseconds, 400.milliseconds, 550.milliseconds, 900.milliseconds)
        val cases = targets.flatMap { target ->
            listOf(Duration.ZERO, 800.milliseconds, 3.seconds).map { Case(target, it, slowFor = 4.seconds) }
        }
        val refusals = cases.associateWith { case ->
            val load = StreamLoad(case.target)
            load.run(case.slowFor, startTime = case.slowStart)
            load.run(2.seconds, startTime = Duration.ZERO)
            load.run(10.seconds, startTime = Duration.ZERO)
        }
        assertEquals(emptyMap(), refusals.filterValues { it > 0 })
    }

    /** Ten streams a second at engines with room for all of them, on a route with the latency target [target]. */
    private class StreamLoad(target: Duration) {
        private val fixture = ForwardFixture(memory = 1_000_000)

        init {
            val configuration = ForwardFixture.configuration(version = 2)
            val routes = configuration.routes.map { it.copy(latencyTarget = target) }
            fixture.forwarder.applyConfiguration(configuration.copy(routes = routes))
        }

        /** Returns how many callers were refused within [duration], while the first event takes [startTime]. */
        fun run(duration: Duration, startTime: Duration): Int = (1..(duration / INTERVAL).toInt()).count {
            val submitted = fixture.submit("/stream/1", callerTimeout = 10.seconds)
            fixture.scheduler.advance(INTERVAL)
            fixture.upstreams.receivedCalls.forEach { answer(it, startTime) }
            fixture.upstreams.receivedCalls.clear()
            submitted.reply.refusal != null
        }

        private fun answer(call: ReceivedCall, startTime: Duration) {
            fixture.scheduler.schedule(startTime) {
                call.head(200)
                call.content("id: 1\ndata: a\n\n")
                fixture.upstreams.finish(call)
            }
        }
    }

    private companion object {
        val INTERVAL: Duration = 100.milliseconds
    }
}
