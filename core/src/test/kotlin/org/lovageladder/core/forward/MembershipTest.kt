package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.UpstreamName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Sequences of registry changes, and which upstreams accept requests afterwards. */
class MembershipTest {
    private data class Step(val atSeconds: Int, val change: RegistryChange)

    private data class Case(val name: String, val steps: List<Step>, val atSeconds: Int, val serving: Set<String>)

    private val one = ForwardFixture.registration("one", ForwardFixture.PLAIN, PoolRole.PLAIN, 1)
    private val two = ForwardFixture.registration("two", ForwardFixture.PLAIN, PoolRole.PLAIN, 2)
    private val bothRegistered = Step(0, RegistryChange.FullRead(listOf(one, two)))
    private val oneRemoved = RegistryChange.Removed(UpstreamName("one"), revision = 2)

    private fun restored(known: List<UpstreamRegistration>, copy: List<UpstreamRegistration>) =
        listOf(Step(0, RegistryChange.FullRead(known))) + restoredTo(copy)

    private fun restoredTo(copy: List<UpstreamRegistration>) =
        listOf(Step(2, RegistryChange.Restored), Step(2, RegistryChange.FullRead(copy)))

    private val cases =
        listOf(
            Case("both registered", listOf(bothRegistered), 1, setOf("one", "two")),
            Case(
                "one leaves",
                listOf(bothRegistered, Step(1, RegistryChange.Registered(one.copy(isLeaving = true, revision = 2)))),
                1,
                setOf("two"),
            ),
            Case(
                "an older registration arrives late",
                listOf(bothRegistered, Step(1, RegistryChange.Registered(one.copy(isLeaving = true, revision = 0)))),
                1,
                setOf("one", "two"),
            ),
            Case(
                "one leaves after the registry was restored",
                restored(listOf(one.copy(revision = 3), two.copy(revision = 4)), listOf(one, two)) +
                    Step(3, RegistryChange.Registered(one.copy(isLeaving = true, revision = 2))),
                4,
                setOf("two"),
            ),
            Case(
                "one is removed after the registry was restored",
                restored(
                    listOf(one.copy(revision = 5), two.copy(revision = 4)),
                    listOf(one, two),
                ) + Step(6, oneRemoved),
                7,
                setOf("two"),
            ),
            Case(
                "one was leaving, and the copy does not know it",
                restored(listOf(one.copy(isLeaving = true, revision = 3), two), listOf(one, two)),
                4,
                setOf("two"),
            ),
            Case(
                "one had left, and the copy still has it",
                listOf(bothRegistered, Step(1, oneRemoved)) + restoredTo(listOf(one, two)),
                4,
                setOf("two"),
            ),
            Case(
                "one had left, and registers itself after the registry was restored",
                listOf(bothRegistered, Step(1, oneRemoved)) + restoredTo(listOf(one, two)) +
                    Step(3, RegistryChange.Registered(one.copy(revision = 2))),
                4,
                setOf("one", "two"),
            ),
            Case(
                "the copy has an earlier start of one, which was leaving",
                restored(
                    listOf(one.copy(startedAt = 20, revision = 3), two),
                    listOf(one.copy(startedAt = 10, isLeaving = true), two),
                ),
                4,
                setOf("one", "two"),
            ),
            Case(
                "one is missing in the copy and registers again in time",
                restored(listOf(one.copy(revision = 3), two), listOf(two)) +
                    Step(4, RegistryChange.Registered(one.copy(revision = 2))),
                9,
                setOf("one", "two"),
            ),
            Case(
                "one is missing in the copy and does not register again",
                restored(listOf(one.copy(revision = 3), two), listOf(two)),
                9,
                setOf("two"),
            ),
            Case(
                "restored twice",
                restored(listOf(one.copy(revision = 9), two), listOf(one.copy(revision = 5), two)) +
                    restoredTo(listOf(one, two)) +
                    Step(4, RegistryChange.Registered(one.copy(isLeaving = true, revision = 2))),
                5,
                setOf("two"),
            ),
            Case("one is removed", listOf(bothRegistered, Step(1, oneRemoved)), 1, setOf("two")),
            Case(
                "an older removal arrives late",
                listOf(bothRegistered, Step(1, oneRemoved.copy(revision = 0))),
                1,
                setOf("one", "two"),
            ),
            Case(
                "one expires during an outage",
                listOf(bothRegistered, Step(1, RegistryChange.Unavailable), Step(2, oneRemoved)),
                9,
                setOf("one", "two"),
            ),
            Case(
                "one expired and is not registered again in time",
                listOf(
                    bothRegistered,
                    Step(1, RegistryChange.Unavailable),
                    Step(5, RegistryChange.Available),
                    Step(5, oneRemoved),
                ),
                8,
                setOf("two"),
            ),
            Case(
                "one leaves shortly after an outage",
                listOf(
                    bothRegistered,
                    Step(1, RegistryChange.Unavailable),
                    Step(5, RegistryChange.Available),
                    Step(7, oneRemoved),
                ),
                8,
                setOf("two"),
            ),
            Case(
                "one expired in a long outage and has time to register again",
                listOf(
                    bothRegistered,
                    Step(1, RegistryChange.Unavailable),
                    Step(2, oneRemoved),
                    Step(8, RegistryChange.Available),
                ),
                10,
                setOf("one", "two"),
            ),
            Case(
                "one expired and is registered again",
                listOf(
                    bothRegistered,
                    Step(1, RegistryChange.Unavailable),
                    Step(5, RegistryChange.Available),
                    Step(5, oneRemoved),
                    Step(6, RegistryChange.Registered(one.copy(revision = 3))),
                ),
                9,
                setOf("one", "two"),
            ),
            Case(
                "one is missing from another full read",
                listOf(bothRegistered, Step(1, RegistryChange.FullRead(listOf(two)))),
                1,
                setOf("two"),
            ),
        )

    @Test
    fun servingUpstreamsFollowRegistryChanges() {
        cases.forEach { case ->
            val membership = Membership()
            case.steps.forEach { membership.apply(it.change, Moment(0) + it.atSeconds.seconds) }
            val serving = membership.serving(ForwardFixture.PLAIN, Moment(0) + case.atSeconds.seconds)
            assertEquals(case.serving, serving.mapTo(HashSet()) { it.name.text }, case.name)
        }
    }

    @Test
    fun endedUpstreamIsLeftOutUntilItRestarts() {
        val membership = Membership()
        val first = one.copy(startedAt = 1)
        membership.apply(RegistryChange.FullRead(listOf(first)), Moment(0))
        membership.removeEnded(first.name)
        membership.apply(RegistryChange.Registered(first.copy(revision = 2)), Moment(0))
        assertEquals(0, membership.serving(ForwardFixture.PLAIN, Moment(0)).size)
        membership.apply(RegistryChange.Registered(first.copy(startedAt = 2, revision = 3)), Moment(0))
        assertEquals(1, membership.serving(ForwardFixture.PLAIN, Moment(0)).size)
    }
}
