package org.lovageladder.core.forward

import org.lovageladder.core.UpstreamName
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Load pattern: the same request comes again and again, at any entry, and crashes each upstream that runs it, among
 * sound requests.
 */
class RepeatedRequestCrashesUpstreamsTest {
    private data class Case(
        val target: String,
        val entryCount: Int,
        val deadlyPerSecond: Double = 1.5,
        val name: String = "alone",
        val repeats: Int = 1,
        val trouble: (EntryFleet) -> Unit = {},
    )

    @Test
    fun noMoreThanThreeReachUpstreamsAfterTheThirdCrash() {
        val counts = listOf(1, 4, 20, 100)
        val cases = listOf("/lookup/deadly", "/action/deadly", "/stream-on/deadly").flatMap { target ->
            counts.map { Case(target, it) } + listOf(
                Case(target, entryCount = 4, deadlyPerSecond = 8.0, name = "many"),
                Case(target, entryCount = 20, deadlyPerSecond = 0.3, name = "few"),
                Case(target, entryCount = 4, deadlyPerSecond = 0.2, name = "two at once", repeats = 2),
                Case(target, entryCount = 4, deadlyPerSecond = 0.2, name = "three at once", repeats = 3),
                Case(target, entryCount = 4, name = "ordinary crashes", trouble = { it.crashNowAndThen(SERVING) }),
                Case(target, entryCount = 4, name = "all upstreams crash", trouble = { it.crashAll(SERVING) }),
                Case(target, entryCount = 4, name = "entries restart", trouble = { it.restartEntries() }),
            )
        }
        val failures = cases.flatMap { case -> SEEDS.mapNotNull { seed -> check(case, seed) } }
        assertTrue(failures.isEmpty(), failures.joinToString("\n", prefix = "${failures.size} of ${cases.size * 2}\n"))
    }

    /** Plays [case] and returns what was wrong. */
    private fun check(case: Case, seed: Int): String? {
        val registrations = EntryFleet.registrations(decodeEngines = UPSTREAMS, plain = UPSTREAMS)
        val fleet = EntryFleet(case.entryCount, seed, registrations = registrations)
        val sound = ArrayList<RecordingReply>()
        fleet.upstreams.deadlyTargets += case.target
        case.trouble(fleet)
        val until = fleet.scheduler.now() + 60.seconds
        val perSecond = SOUND_PER_SECOND + case.deadlyPerSecond
        val prefix = case.target.removeSuffix("deadly")
        while (fleet.scheduler.now() < until) {
            fleet.scheduler.advance((2 * fleet.random.nextDouble() / perSecond).seconds)
            if (fleet.random.nextDouble() * perSecond < case.deadlyPerSecond) {
                repeat(case.repeats) { number ->
                    fleet.scheduler.schedule(REPEAT_INTERVAL * number) { fleet.submit(case.target, GENERATION) }
                }
            } else {
                val name = if (fleet.random.nextInt(5) == 0) "popular" else "${sound.size}"
                sound += fleet.submit(prefix + name, GENERATION)
            }
        }
        fleet.scheduler.advance(20.seconds)
        val problems = listOfNotNull(lateArrivals(fleet, case.target), heldBack(sound))
        return problems.takeIf { it.isNotEmpty() }?.joinToString(prefix = "$case, seed $seed: ")
    }

    private fun lateArrivals(fleet: EntryFleet, target: String): String? {
        val crashes = fleet.upstreams.crashes[RequestTrait(target)].orEmpty()
        val third = crashes.getOrNull(COUNTED_CRASHES - 1) ?: return null
        val arrivals = fleet.upstreams.partArrivals.getValue(RequestTrait(target))
        val late = arrivals.count { it > third + CONTACT + MAXIMUM_LATENCY }
        return "$late arrivals after the third of ${crashes.size} crashes".takeIf { late > ALLOWED_ARRIVALS }
    }

    private fun heldBack(sound: List<RecordingReply>): String? {
        val heldBack = sound.count { it.refusal?.reason in HELD_BACK }
        val served = sound.count { it.isComplete }
        return "$heldBack of ${sound.size} sound requests held back, $served served"
            .takeIf { heldBack > 0 || served < sound.size * MINIMUM_SERVED_SHARE }
    }

    private companion object {
        const val UPSTREAMS = 10
        const val SOUND_PER_SECOND = 13.5
        const val COUNTED_CRASHES = 3
        const val ALLOWED_ARRIVALS = 3
        const val MINIMUM_SERVED_SHARE = 0.7
        val SEEDS = 1..2

        /** Callers that return at once do so after the crash that their request caused. */
        val REPEAT_INTERVAL = 150.milliseconds
        val SERVING = listOf("plain", "decode").flatMap { kind -> (1..UPSTREAMS).map { UpstreamName("$kind-$it") } }
        val HELD_BACK = setOf(RefusalReason.REQUEST_SUSPECTED, RefusalReason.REQUEST_QUARANTINED)
        val GENERATION = ForwardFixture.GENERATION.copy(sharedParts = listOf(RequestTrait("popular")))

        /** Time for which a host must have been in touch with the platform to be bound. */
        val CONTACT = 3.seconds
        val MAXIMUM_LATENCY = 5.milliseconds
    }
}
