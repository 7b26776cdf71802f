package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How long upstreams whose registrations are missing stay in use after an outage: one of the registry, or of this
 * entry's own contact with it, which look alike.
 */
class RegistryOutageTest {
    /**
     * The registry behind a link that passes nothing on in [cut]. What was sent meanwhile is repeated as TCP does: the
     * first packet of a new connection after 1 and 3 s, and bytes on an open one after 0.2 s and twice as long each
     * time. The registration of the upstream one is missing in [missing].
     */
    private class CutRegistry(
        private val scheduler: VirtualScheduler,
        private val cut: ClosedRange<Moment>,
        private val missing: ClosedRange<Moment>,
    ) : RegistryPort {
        private val one = ForwardFixture.registration("one", ForwardFixture.PLAIN, PoolRole.PLAIN, 1)
        private val changes = listOf(
            missing.start to RegistryChange.Removed(one.name, revision = 2),
            missing.endInclusive to RegistryChange.Registered(one.copy(revision = 3)),
        )

        /** Number of changes until [moment]; the registry begins at revision 1. */
        private fun changesUntil(moment: Moment) = changes.count { (at, _) -> at <= moment }

        private fun snapshot(): RegistrySnapshot {
            val now = scheduler.now()
            val registrations = if (now in missing) emptyList() else listOf(one)
            return RegistrySnapshot(1L + changesUntil(now), null, registrations)
        }

        /** When bytes that are ready at [at] have passed the link, repeated first after [repeat]. */
        private fun passedAt(at: Moment, repeat: Duration): Moment {
            var sentAt = at
            var interval = repeat
            while (sentAt in cut) {
                sentAt += interval
                interval *= 2
            }
            return sentAt
        }

        /** Calls [answer] with what [value] is when the call has passed, or with [failed] after [timeout]. */
        private fun <Answer> call(
            passesAt: Moment,
            timeout: Duration,
            failed: Answer,
            value: () -> Answer,
            answer: (Answer) -> Unit,
        ): Cancellable {
            val now = scheduler.now()
            val isLate = passesAt - now >= timeout
            val delay = if (isLate) timeout else passesAt - now + ANSWER_TIME
            return scheduler.schedule(delay) { answer(if (isLate) failed else value()) }
        }

        override fun read(answer: (RegistryRead) -> Unit) {
            val passesAt = passedAt(scheduler.now(), FIRST_PACKET_REPEAT)
            call(passesAt, CALL_TIMEOUT, RegistryRead.Failed("timeout"), { RegistryRead.Complete(snapshot()) }, answer)
        }

        override fun watch(revision: Long, timeout: Duration, answer: (RegistryWatch) -> Unit): Cancellable {
            val now = scheduler.now()
            val nextChangeAt = changes.getOrNull(revision.toInt() - 1)?.first ?: FOREVER
            val readyAt = minOf(maxOf(now, nextChangeAt), now + timeout)
            val news = changes.take(changesUntil(readyAt)).drop(revision.toInt() - 1).map { it.second }
            val changed = RegistryWatch.Changed(revision + news.size, emptyList(), news)
            val passesAt = maxOf(passedAt(readyAt, BYTES_REPEAT), passedAt(now, BYTES_REPEAT))
            return call(passesAt, timeout + CALL_TIMEOUT, RegistryWatch.Failed("timeout"), { changed }, answer)
        }

        override fun checkContact(answer: (Boolean) -> Unit): Cancellable =
            call(passedAt(scheduler.now(), FIRST_PACKET_REPEAT), CALL_TIMEOUT, false, { true }, answer)
    }

    private class Entry(cut: ClosedRange<Moment>, missing: ClosedRange<Moment>) {
        val scheduler = VirtualScheduler()
        private val membership = Membership()
        private val listener = object : RegistryListener {
            override fun onConfiguration(configuration: ForwardConfiguration) = Unit

            override fun onChange(change: RegistryChange) = membership.apply(change, scheduler.now())
        }
        val isServing: Boolean get() = membership.serving(ForwardFixture.PLAIN, scheduler.now()).isNotEmpty()

        init {
            RegistryFollower(CutRegistry(scheduler, cut, missing), scheduler, listener).start()
        }

        fun advanceTo(moment: Moment) = scheduler.advance(moment - scheduler.now())
    }

    /**
     * Guards against requests to an upstream that is gone after this entry alone was cut off: the heal was noticed late
     * and the upstream was then given time to come back. The load pattern is a heal at any moment of a retry.
     */
    @Test
    fun upstreamRemovedWhileTheEntryWasCutOffIsNotUsedAfterItIsBackInTouch() {
        cutsOf(lengths = 1_000..8_000).forEach { cut ->
            listOf(0, 100, 500, 1_000, 2_000, 5_000).forEach { beforeHeal ->
                val removedAt = maxOf(cut.endInclusive - beforeHeal.milliseconds, cut.start)
                val entry = Entry(cut, removedAt..FOREVER)
                entry.advanceTo(maxOf(removedAt + DRAIN_BOUND, cut.endInclusive + CONTACT_BOUND))
                assertEquals(false, entry.isServing, "cut=$cut removed $beforeHeal ms before its end")
            }
        }
    }

    /** An outage of the registry, in which all registrations expire; living upstreams are back 2 s after its end. */
    @Test
    fun upstreamThatRegistersAgainAfterAnOutageStaysInUse() {
        cutsOf(lengths = 3_700..8_000).forEach { outage ->
            val missing = (outage.start + EXPIRY_TIME)..(outage.endInclusive + RETURN_BOUND)
            val entry = Entry(outage, missing)
            while (entry.scheduler.now() < missing.endInclusive + 1.seconds) {
                entry.scheduler.advance(50.milliseconds)
                assertEquals(true, entry.isServing, "outage=$outage at ${entry.scheduler.now()}")
            }
        }
    }

    /** Cuts of several [lengths] in milliseconds that begin and end at different moments of the cycles of the entry. */
    private fun cutsOf(lengths: IntRange): List<ClosedRange<Moment>> = (20_000..23_000 step CUT_STEP).flatMap { start ->
        (lengths step CUT_STEP).map { Moment(0) + start.milliseconds..Moment(0) + (start + it).milliseconds }
    }

    private companion object {
        /** Bounds of the users' deployments. */
        val CONTACT_BOUND = 3.seconds
        val DRAIN_BOUND = 2.seconds
        val RETURN_BOUND = 2.seconds

        /** The last renewal may be an interval older than the outage. */
        val EXPIRY_TIME = 2_400.milliseconds
        val CALL_TIMEOUT = 800.milliseconds
        val ANSWER_TIME = 15.milliseconds
        val FIRST_PACKET_REPEAT = 1.seconds
        val BYTES_REPEAT = 200.milliseconds
        val FOREVER = Moment(0) + 1_000.seconds

        /** Prime, so that the moments of the cycles are all met. */
        const val CUT_STEP = 97
    }
}
