package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.UpstreamName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** What the registry told, in order, and which upstreams take requests afterwards. */
class MembershipTest {
    private data class Step(val atSeconds: Int, val change: RegistryChange)

    private data class Case(val name: String, val steps: List<Step>, val atSeconds: Int, val serving: Set<String>)

    private val one = ForwardWorld.member("one", ForwardWorld.PLAIN, PoolRole.PLAIN, 1)
    private val two = ForwardWorld.member("two", ForwardWorld.PLAIN, PoolRole.PLAIN, 2)
    private val all = Step(0, RegistryChange.ReadWhole(listOf(one, two)))
    private val removed = RegistryChange.Removed(UpstreamName("one"), revision = 2)

    private val cases =
        listOf(
            Case("both registered", listOf(all), 1, setOf("one", "two")),
            Case(
                "one leaves",
                listOf(all, Step(1, RegistryChange.Written(one.copy(leaving = true, revision = 2)))),
                1,
                setOf("two"),
            ),
            Case(
                "an older entry comes late",
                listOf(all, Step(1, RegistryChange.Written(one.copy(leaving = true, revision = 0)))),
                1,
                setOf("one", "two"),
            ),
            Case("one is removed", listOf(all, Step(1, removed)), 1, setOf("two")),
            Case(
                "an older removal comes late",
                listOf(all, Step(1, removed.copy(revision = 0))),
                1,
                setOf("one", "two"),
            ),
            Case(
                "one lapses in an outage",
                listOf(all, Step(1, RegistryChange.Lost), Step(2, removed)),
                9,
                setOf("one", "two"),
            ),
            Case(
                "one lapsed and is not back in time",
                listOf(all, Step(1, RegistryChange.Lost), Step(5, RegistryChange.Regained), Step(5, removed)),
                8,
                setOf("two"),
            ),
            Case(
                "one leaves shortly after an outage",
                listOf(all, Step(1, RegistryChange.Lost), Step(5, RegistryChange.Regained), Step(7, removed)),
                8,
                setOf("two"),
            ),
            Case(
                "one lapsed in a long outage and has time to come back",
                listOf(all, Step(1, RegistryChange.Lost), Step(2, removed), Step(8, RegistryChange.Regained)),
                10,
                setOf("one", "two"),
            ),
            Case(
                "one lapsed and is back",
                listOf(
                    all,
                    Step(1, RegistryChange.Lost),
                    Step(5, RegistryChange.Regained),
                    Step(5, removed),
                    Step(6, RegistryChange.Written(one.copy(revision = 3))),
                ),
                9,
                setOf("one", "two"),
            ),
            Case(
                "read whole again without one",
                listOf(all, Step(1, RegistryChange.ReadWhole(listOf(two)))),
                1,
                setOf("two"),
            ),
        )

    @Test
    fun servingUpstreamsFollowTheRegistry() {
        cases.forEach { case ->
            val membership = Membership()
            case.steps.forEach { membership.apply(it.change, Moment(0) + it.atSeconds.seconds) }
            val serving = membership.serving(ForwardWorld.PLAIN, Moment(0) + case.atSeconds.seconds)
            assertEquals(case.serving, serving.mapTo(HashSet()) { it.name.text }, case.name)
        }
    }

    @Test
    fun upstreamThatEndedStaysOutUntilItStartsAgain() {
        val membership = Membership()
        val first = one.copy(startedAt = 1)
        membership.apply(RegistryChange.ReadWhole(listOf(first)), Moment(0))
        membership.drop(first.name)
        membership.apply(RegistryChange.Written(first.copy(revision = 2)), Moment(0))
        assertEquals(0, membership.serving(ForwardWorld.PLAIN, Moment(0)).size)
        membership.apply(RegistryChange.Written(first.copy(startedAt = 2, revision = 3)), Moment(0))
        assertEquals(1, membership.serving(ForwardWorld.PLAIN, Moment(0)).size)
    }
}
