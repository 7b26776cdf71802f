package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.UpstreamName
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits that upstreams name for all entries together, replayed with whole fleets. The bound is the users': in any four
 * seconds an upstream gets at most one and a half times what its limit allows and five requests more, summed over the
 * entries that were told of the limit half a second before.
 */
class RequestLimitTest {
    private data class Case(
        val name: String,
        val entries: Int,
        val limit: Double = 2.2,
        val limited: List<String> = ALL_PLAIN,
        val targets: List<String> = listOf("/action/1", "/lookup/1"),
        val behaviour: UpstreamBehaviour = UpstreamBehaviour(),
        val seed: Int = 1,
        val warmUp: Duration = 15.seconds,
        val trouble: (EntryFleet) -> Unit = {},
    )

    private val sizes = listOf(1, 2, 4, 30, 300)

    private val loads =
        sizes.flatMap { listOf(Case("all limited", it), Case("two limited", it, limited = ALL_PLAIN.take(2))) } +
            listOf(0.0, 0.3, 10.0, 40.0).flatMap { limit -> sizes.map { Case("limit", it, limit) } } +
            listOf(2, 30).flatMap { entries ->
                listOf(
                    Case("declined", entries, behaviour = UpstreamBehaviour(declinedShare = 0.4)),
                    Case("answers lost", entries, behaviour = UpstreamBehaviour(lostAnswerShare = 0.4)),
                    Case("slow and hedged", entries, behaviour = UpstreamBehaviour(serviceTime = 150.milliseconds)),
                    Case("streams", entries, limited = ENGINES, targets = STREAMS),
                    Case("prefills", entries, limited = ENGINES.take(2), targets = STREAMS),
                    Case("streams, high limit", entries, limit = 8.0, limited = ENGINES, targets = STREAMS),
                    Case(
                        "streams declined",
                        entries,
                        limited = ENGINES,
                        targets = STREAMS,
                        behaviour = UpstreamBehaviour(declinedShare = 0.4),
                    ),
                    Case(
                        "streams with slow prefills",
                        entries,
                        limited = ENGINES.drop(2),
                        targets = STREAMS,
                        behaviour = UpstreamBehaviour(serviceTime = 700.milliseconds),
                    ),
                )
            }

    private val troubles: Map<String, (EntryFleet) -> Unit> = mapOf(
        "all restart" to { fleet ->
            fleet.scheduler.schedule(5.seconds) { fleet.entries.forEach { it.restart() } }
        },
        "restarts in turn" to { fleet ->
            fleet.entries.forEachIndexed { index, entry ->
                fleet.scheduler.schedule(4.seconds + 400.milliseconds * index) { entry.restart() }
            }
        },
        "all freeze" to { fleet ->
            fleet.scheduler.schedule(5.seconds) { fleet.entries.forEach { it.freeze(3.seconds) } }
        },
        "a third cut from the registry" to { fleet ->
            fleet.scheduler.schedule(4.seconds) {
                fleet.cutFromRegistry(
                    fleet.entries.filterIndexed { index, _ ->
                        index %
                            3 ==
                            0
                    },
                )
            }
        },
        "all but one cut from the registry" to { fleet ->
            fleet.scheduler.schedule(4.seconds) { fleet.cutFromRegistry(fleet.entries.drop(1)) }
        },
        "half as many join" to { fleet ->
            fleet.scheduler.schedule(5.seconds) { repeat(fleet.entries.size / 2) { fleet.add() } }
        },
        "joining in turn" to { fleet ->
            repeat(10) { fleet.scheduler.schedule(4.seconds + 700.milliseconds * it) { fleet.add() } }
        },
        "all but one cut and back" to { fleet ->
            fleet.scheduler.schedule(1.seconds) { fleet.cutFromRegistry(fleet.entries.drop(1)) }
            fleet.scheduler.schedule(17.seconds) { fleet.reconnect() }
        },
        "upstreams restart under their names" to { fleet ->
            ALL_PLAIN.forEachIndexed { index, name ->
                fleet.scheduler.schedule(3.seconds * (index + 1)) {
                    fleet.restartUpstream(UpstreamName(name), startedAt = 100L + index)
                }
            }
        },
        "cut and replaced" to { fleet ->
            fleet.scheduler.schedule(4.seconds) {
                val before = fleet.entries.toList()
                fleet.cutFromRegistry(before)
                repeat(before.size) { fleet.add() }
            }
        },
    )

    private val cases =
        loads +
            troubles.flatMap { (name, trouble) ->
                listOf(2, 4, 30).flatMap { entries ->
                    listOf(2.2, 10.0).flatMap { limit ->
                        listOf(15.seconds, 0.seconds).map { warmUp ->
                            Case(name, entries, limit, seed = 2, warmUp = warmUp, trouble = trouble)
                        }
                    }
                }
            }

    @Test
    fun upstreamThatNamesALimitGetsNoMoreFromAllEntriesTogether() {
        val failures = cases.mapNotNull { case -> findExcess(case)?.let { "$it: $case" } }
        assertTrue(failures.isEmpty(), failures.joinToString("\n"))
    }

    /** Two random troubles that may overlap, at a random size, limit and load. */
    @Test
    fun limitIsKeptThroughOverlappingTroubles() {
        val failures = overlapSeeds().mapNotNull { seed ->
            val case = randomCase(seed)
            findExcess(case)?.let { "$it: $case" }
        }
        assertTrue(failures.isEmpty(), failures.joinToString("\n"))
    }

    private fun randomCase(seed: Int): Case {
        val random = Random(seed)
        val first = troubles.entries.random(random)
        val second = troubles.entries.random(random)
        val isStreams = random.nextBoolean()
        return Case(
            name = "${first.key} and ${second.key}",
            entries = listOf(2, 3, 4, 8, 30).random(random),
            limit = listOf(0.2, 0.8, 2.2, 6.0, 20.0).random(random),
            limited = if (isStreams) ENGINES else ALL_PLAIN,
            targets = if (isStreams) STREAMS else listOf("/action/1", "/lookup/1"),
            behaviour = UpstreamBehaviour(
                declinedShare = random.nextDouble() / 4,
                lostAnswerShare = random.nextDouble() / 4,
                serviceTime = listOf(20, 80, 300).random(random).milliseconds,
            ),
            seed = seed,
            warmUp = listOf(0.seconds, 15.seconds).random(random),
        ) { fleet ->
            first.value(fleet)
            fleet.scheduler.schedule(random.nextInt(20).seconds) { second.value(fleet) }
        }
    }

    /** Seeds in CI; the property `limit.seeds` gives another range, such as 100-400, for longer runs by hand. */
    private fun overlapSeeds(): IntRange {
        val range = System.getProperty("limit.seeds") ?: return 1..20
        return range.substringBefore('-').toInt()..range.substringAfter('-').toInt()
    }

    /** An upstream whose limit changes with each answer gets no more than the mean of what it names allows. */
    @Test
    fun limitThatSwingsFromAnswerToAnswerIsKept() {
        listOf(2, 4, 30).forEach { entries ->
            val fleet = EntryFleet(entries, seed = 6)
            val name = UpstreamName("plain-1")
            val namedAt = fleet.scheduler.now()
            fleet.upstreams.nameLimit(name) { if (fleet.random.nextBoolean()) 10.0 else 2.0 }
            fleet.run(20.seconds, requestsPerSecond = 160.0, listOf("/action/1", "/lookup/1"))
            assertEquals(null, fleet.findExcess(name, limit = 6.0, namedAt), "$entries entries")
        }
    }

    /** A reservation pays for one call that follows; the release after a declined decode is one more. */
    @Test
    fun releaseAfterADeclinedDecodeCountsAgainstTheLimit() {
        val fixture = ForwardFixture()
        fixture.forwarder.onRegistryChange(RegistryChange.Removed(UpstreamName("decode-2"), revision = 9))
        val engine = ForwardFixture.REGISTRATIONS.single { it.name.text == "decode-1" }.incarnation
        val limit = UpstreamNotice(requestLimit = RequestLimitNotice.Named(0.1))
        fixture.forwarder.onUpstreamNotice(engine, limit)
        fixture.scheduler.advance(60.seconds)
        fixture.submit("/stream/1", callerTimeout = 10.seconds)
        fixture.scheduler.advance(200.milliseconds)
        fixture.upstreams.receivedCalls.single().answer(503, isDeclined = true)
        assertEquals(emptyList(), fixture.upstreams.released, "the limit leaves no room for the release")
    }

    /** Load pattern: all upstreams of a service name a limit, and callers send far more for a long time. */
    @Test
    fun mostOfTheLimitIsUsedWhileCallersSendMore() {
        data class UseCase(val entries: Int, val limit: Double)
        listOf(1, 2, 4, 30, 300).flatMap { size -> listOf(0.5, 2.2, 10.0).map { UseCase(size, it) } }.forEach { case ->
            val fleet = EntryFleet(case.entries, seed = 3)
            val requestsPerSecond = maxOf(160.0, 3.0 * case.entries)
            ALL_PLAIN.forEach { fleet.upstreams.nameLimit(UpstreamName(it)) { case.limit } }
            fleet.run(10.seconds, requestsPerSecond, listOf("/lookup/1"))
            val before = fleet.upstreams.arrivals.size
            fleet.run(20.seconds, requestsPerSecond, listOf("/lookup/1"))
            val used = (fleet.upstreams.arrivals.size - before) / (20.0 * ALL_PLAIN.size * case.limit)
            assertTrue(used >= 0.6, "$case: $used of the limit is used")
        }
    }

    /** Load pattern: half of the upstreams of a service name a limit; the others can take all requests. */
    @Test
    fun callersAreServedByUpstreamsWithoutALimit() {
        listOf(2, 4, 30).forEach { entries ->
            val fleet = EntryFleet(entries, seed = 4)
            ALL_PLAIN.take(2).forEach { fleet.upstreams.nameLimit(UpstreamName(it)) { 2.2 } }
            fleet.run(20.seconds, requestsPerSecond = 80.0, listOf("/action/1", "/lookup/1"))
            fleet.scheduler.advance(5.seconds)
            assertTrue(fleet.replies.all { it.isComplete }, "$entries entries")
        }
    }

    /** Load pattern: limits end while callers send; all entries must use the upstreams again, without a burst. */
    @Test
    fun upstreamIsUsedByAllEntriesSoonAfterItsLimitEnds() {
        listOf(1, 2, 4, 30, 100).forEach { entries ->
            val fleet = EntryFleet(entries, seed = 5)
            val requestsPerSecond = maxOf(160.0, 3.0 * entries)
            ALL_PLAIN.forEach { fleet.upstreams.nameLimit(UpstreamName(it)) { 2.2 } }
            fleet.run(10.seconds, requestsPerSecond, listOf("/lookup/1"))
            ALL_PLAIN.forEach { fleet.upstreams.endLimit(UpstreamName(it)) }
            fleet.run(12.seconds, requestsPerSecond, listOf("/lookup/1"))
            assertEquals(0, fleet.entries.sumOf { it.forwarder.limitedUpstreams }, "$entries entries")
        }
    }

    private fun findExcess(case: Case): String? {
        val fleet = EntryFleet(case.entries, case.seed, case.behaviour, case.warmUp)
        val requestsPerSecond = maxOf(160.0, 3.0 * case.entries)
        fleet.run(2.seconds, requestsPerSecond, case.targets)
        val names = case.limited.map(::UpstreamName)
        val namedAt = fleet.scheduler.now()
        names.forEach { name -> fleet.upstreams.nameLimit(name) { case.limit } }
        case.trouble(fleet)
        fleet.run(30.seconds, requestsPerSecond, case.targets)
        return names.firstNotNullOfOrNull { fleet.findExcess(it, case.limit, namedAt) }
    }

    private fun EntryFleet.findExcess(name: UpstreamName, limit: Double, namedAt: Moment): String? {
        val counted = upstreams.arrivals.filter { it.upstream == name && it.isBound }
        val allowed = (limit * 1.5 * WINDOW.inWholeSeconds + 5).toInt()
        return counted
            .filter { it.at >= namedAt + CONTACT_TIME }
            .map { last -> last.at to counted.count { it.at > last.at - WINDOW && it.at <= last.at } }
            .firstOrNull { (_, count) -> count > allowed }
            ?.let { (at, count) -> "$name got $count requests by ${at - Moment(0)}, allowed $allowed" }
    }

    private companion object {
        val WINDOW: Duration = 4.seconds

        /** Time after the first naming of a limit from which the bound holds. */
        val CONTACT_TIME: Duration = 3.seconds
        val ALL_PLAIN = listOf("plain-1", "plain-2", "plain-3", "plain-4")
        val ENGINES = listOf("prefill-1", "prefill-2", "decode-1", "decode-2", "decode-3")
        val STREAMS = listOf("/stream/1", "/stream-on/1")
    }
}
