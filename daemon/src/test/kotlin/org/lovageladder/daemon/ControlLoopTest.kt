package org.lovageladder.daemon

import org.lovageladder.core.HybridTime
import org.lovageladder.core.Moment
import kotlin.test.Test
import kotlin.test.assertEquals

class ControlLoopTest {
    private var now = Moment(0)
    private var deadline: Moment? = null
    private val calls = mutableListOf<String>()

    private val loop = ControlLoop(
        object : StateMachine<String> {
            override val timePassed = "time"

            override fun handle(event: String, now: Moment) {
                calls += "$event@${now.microseconds}"
                if (event == "time") deadline = null
                if (event == "slow") this@ControlLoopTest.now = Moment(now.microseconds + SUSPENSION_MICROSECONDS)
            }

            override fun observe(clock: HybridTime) {
                calls += "clock ${clock.milliseconds}"
            }

            override fun nextDeadline(): Moment? = deadline
        },
    ) { now }

    private class Case(
        val name: String,
        val tasks: List<ControlTask<String>>,
        val expected: List<String>,
        val start: Long = 0,
        val deadline: Long? = null,
    )

    @Test
    fun eventsDeadlinesAndSuspensionsAreHandledInOrder() {
        val eventWithClock = ControlTask.Handle("b", HybridTime(7, 0))
        val cases = listOf(
            Case(
                "in order of arrival",
                listOf(handle("a"), eventWithClock),
                listOf("a@10", "clock 7", "b@10"),
                start = 10,
            ),
            Case("a deadline that is not due", listOf(handle("a")), listOf("a@10"), start = 10, deadline = 11),
            Case("queued events come before a deadline", listOf(handle("a")), listOf("a@10", "time@10"), 10, 10),
            Case("a deadline without events", emptyList(), listOf("time@10"), start = 10, deadline = 9),
            Case(
                "after a suspension the time comes first",
                listOf(handle("a")),
                listOf("time@2000000", "a@2000000"),
                SUSPENSION_MICROSECONDS,
            ),
            Case("a suspension without events", emptyList(), listOf("time@2000000"), start = SUSPENSION_MICROSECONDS),
            Case(
                "a suspension between two events of one batch",
                listOf(handle("slow"), handle("b")),
                listOf("slow@0", "time@2000000", "b@2000000"),
            ),
            Case("exactly the threshold is no suspension", listOf(handle("a")), listOf("a@1000000"), start = 1_000_000),
        )
        cases.forEach { case ->
            now = Moment(0)
            deadline = null
            loop.run(emptyList())
            calls.clear()
            now = Moment(case.start)
            deadline = case.deadline?.let(::Moment)
            loop.run(case.tasks)
            assertEquals(case.expected, calls.toList(), case.name)
        }
    }

    private fun handle(event: String) = ControlTask.Handle(event)

    private companion object {
        const val SUSPENSION_MICROSECONDS = 2_000_000L
    }
}
