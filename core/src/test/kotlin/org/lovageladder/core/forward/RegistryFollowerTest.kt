package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.UpstreamName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Following the registry when watches fail. */
class RegistryFollowerTest {
    /** Registry that answers each check of the contact. */
    private abstract class AnsweringRegistry(protected val scheduler: VirtualScheduler) : RegistryPort {
        override fun checkContact(answer: (Boolean) -> Unit): Cancellable =
            scheduler.schedule(5.milliseconds) { answer(true) }
    }

    /** Registry whose first watch fails after a second. A change is made meanwhile, and its history is lost. */
    private class HistoryLosingRegistry(scheduler: VirtualScheduler) : AnsweringRegistry(scheduler) {
        var currentVersion = 1L
        var reads = 0
        var watches = 0

        override fun read(answer: (RegistryRead) -> Unit) {
            reads += 1
            val snapshot = RegistrySnapshot(
                currentVersion,
                ForwardFixture.configuration(currentVersion),
                ForwardFixture.REGISTRATIONS,
            )
            scheduler.schedule(12.milliseconds) { answer(RegistryRead.Complete(snapshot)) }
        }

        override fun watch(revision: Long, timeout: Duration, answer: (RegistryWatch) -> Unit): Cancellable {
            watches += 1
            return if (watches == 1) {
                scheduler.schedule(1.seconds) { answer(RegistryWatch.Failed("connection lost")) }
            } else {
                scheduler.schedule(timeout) { answer(RegistryWatch.HistoryExpired) }
            }
        }
    }

    /**
     * Load pattern: the store drops its history just when a failed watch is resumed, so the new watch does not report
     * the change.
     */
    @Test
    fun changeMadeDuringAFailedWatchIsReadAgain() {
        val scheduler = VirtualScheduler()
        val registry = HistoryLosingRegistry(scheduler)
        val versions = ArrayList<ReleaseVersion>()
        val listener = object : RegistryListener {
            override fun onConfiguration(configuration: ForwardConfiguration) {
                versions += configuration.version
            }

            override fun onChange(change: RegistryChange) = Unit
        }
        RegistryFollower(registry, scheduler, listener).start()
        scheduler.advance(500.milliseconds)
        registry.currentVersion = 2
        scheduler.advance(1.seconds)
        assertEquals(listOf(ReleaseVersion(1), ReleaseVersion(2)), versions)
        assertEquals(2, registry.reads)
    }

    /** Registry that answers reads and watches from lists of epochs; each answer is at a later revision. */
    private class RestoredRegistry(
        scheduler: VirtualScheduler,
        private val readEpochs: ArrayDeque<Long>,
        private val watchEpochs: ArrayDeque<Long>,
    ) : AnsweringRegistry(scheduler) {
        private var revision = 10L
        val watchedRevisions = ArrayList<Long>()

        override fun read(answer: (RegistryRead) -> Unit) {
            val epoch = readEpochs.removeFirstOrNull() ?: return
            val reported = RegistryChange.RequestLimitReported(UpstreamName("plain-1"), null)
            val snapshot = RegistrySnapshot(revision / epoch, null, emptyList(), listOf(reported), epoch)
            scheduler.schedule(5.milliseconds) { answer(RegistryRead.Complete(snapshot)) }
        }

        override fun watch(revision: Long, timeout: Duration, answer: (RegistryWatch) -> Unit): Cancellable {
            watchedRevisions += revision
            val epoch = watchEpochs.removeFirstOrNull() ?: return Cancellable {}
            val changes = listOf(RegistryChange.LeaderChanged(hasLeader = true))
            val changed = RegistryWatch.Changed(revision + 1, emptyList(), changes, epoch)
            return scheduler.schedule(5.milliseconds) { answer(changed) }
        }
    }

    /**
     * Registry whose connections of before [silentAt] stay silent from then on, without a reset. The upstream one is
     * removed from it at [removedAt].
     */
    private class SilencedRegistry(
        private val scheduler: VirtualScheduler,
        private val silentAt: Moment,
        private val removedAt: Moment,
    ) : RegistryPort {
        private var isReconnected = false
        private val isSilent get() = !isReconnected && scheduler.now() >= silentAt
        val one = ForwardFixture.registration("one", ForwardFixture.PLAIN, PoolRole.PLAIN, 1)

        /** The call that fails is the last one on an old connection. */
        private fun <Answer> onOldConnection(after: Duration, failed: Answer, answer: (Answer) -> Unit) =
            scheduler.schedule(after) {
                isReconnected = true
                answer(failed)
            }

        override fun read(answer: (RegistryRead) -> Unit) {
            if (isSilent) {
                onOldConnection(CALL_TIMEOUT, RegistryRead.Failed("timeout"), answer)
            } else {
                val registrations = if (scheduler.now() >= removedAt) emptyList() else listOf(one)
                scheduler.schedule(5.milliseconds) {
                    answer(RegistryRead.Complete(RegistrySnapshot(1, null, registrations)))
                }
            }
        }

        override fun watch(revision: Long, timeout: Duration, answer: (RegistryWatch) -> Unit): Cancellable {
            val unchanged = RegistryWatch.Changed(revision, emptyList(), emptyList())
            val removed = unchanged.copy(revision = 2, changes = listOf(RegistryChange.Removed(one.name, revision = 2)))
            val now = scheduler.now()
            val endsAt = now + timeout
            val isSilenced = isSilent || (now < silentAt && silentAt < endsAt)
            val removal = (removedAt - now).coerceAtLeast(Duration.ZERO)
            return when {
                isSilenced -> onOldConnection(timeout + CALL_TIMEOUT, RegistryWatch.Failed("timeout"), answer)
                revision < 2 && removedAt < endsAt -> scheduler.schedule(removal) { answer(removed) }
                else -> scheduler.schedule(timeout) { answer(unchanged) }
            }
        }

        override fun checkContact(answer: (Boolean) -> Unit): Cancellable = if (isSilent) {
            onOldConnection(CALL_TIMEOUT, false, answer)
        } else {
            scheduler.schedule(5.milliseconds) { answer(true) }
        }

        companion object {
            val CALL_TIMEOUT = 800.milliseconds
        }
    }

    /** Registry that is too slow for short calls after the first read; a watch still tells of the removal of one. */
    private class SlowRegistry(private val scheduler: VirtualScheduler) : RegistryPort {
        private var reads = 0
        val one = ForwardFixture.registration("one", ForwardFixture.PLAIN, PoolRole.PLAIN, 1)

        override fun read(answer: (RegistryRead) -> Unit) {
            reads += 1
            val isFirst = reads == 1
            val snapshot = RegistrySnapshot(revision = 1, configuration = null, listOf(one))
            val result = if (isFirst) RegistryRead.Complete(snapshot) else RegistryRead.Failed("timeout")
            scheduler.schedule(if (isFirst) 5.milliseconds else 800.milliseconds) { answer(result) }
        }

        override fun watch(revision: Long, timeout: Duration, answer: (RegistryWatch) -> Unit): Cancellable {
            val removed = RegistryChange.Removed(one.name, revision = 2)
            return scheduler.schedule(2_200.milliseconds) {
                answer(RegistryWatch.Changed(2, emptyList(), listOf(removed)))
            }
        }

        override fun checkContact(answer: (Boolean) -> Unit): Cancellable =
            scheduler.schedule(800.milliseconds) { answer(false) }
    }

    /** Guards against news that is lost because a watch is given up while the registry is only slow. */
    @Test
    fun watchThatAnswersAfterAFailedCheckIsHeard() {
        val scheduler = VirtualScheduler()
        val membership = Membership()
        val listener = object : RegistryListener {
            override fun onConfiguration(configuration: ForwardConfiguration) = Unit

            override fun onChange(change: RegistryChange) = membership.apply(change, scheduler.now())
        }
        RegistryFollower(SlowRegistry(scheduler), scheduler, listener).start()
        scheduler.advance(2.seconds)
        assertEquals(1, membership.serving(ForwardFixture.PLAIN, scheduler.now()).size)
        scheduler.advance(600.milliseconds)
        assertEquals(emptyList(), membership.serving(ForwardFixture.PLAIN, scheduler.now()))
    }

    /**
     * Guards against requests that reach an upstream after its drain, when it leaves while the connections to the
     * registry are silent: the silence was noticed late, and the missing upstream was then forgiven as if the registry
     * had been away. The load pattern is a silence at any moment of a watch.
     */
    @Test
    fun upstreamRemovedBehindSilentConnectionsIsNotUsedAfterItsDrain() {
        val contactBound = 3.seconds
        val drainBound = 2.seconds
        (0..30).map { it * 100 }.forEach { sinceWatch ->
            listOf(0, 500, 1_500, 3_100).forEach { sinceSilence ->
                val scheduler = VirtualScheduler()
                val silentAt = scheduler.now() + (20_000 + sinceWatch).milliseconds
                val removedAt = silentAt + sinceSilence.milliseconds
                val registry = SilencedRegistry(scheduler, silentAt, removedAt)
                val membership = Membership()
                val listener = object : RegistryListener {
                    override fun onConfiguration(configuration: ForwardConfiguration) = Unit

                    override fun onChange(change: RegistryChange) = membership.apply(change, scheduler.now())
                }
                RegistryFollower(registry, scheduler, listener).start()
                scheduler.advance(removedAt - scheduler.now() - 1.milliseconds)
                assertEquals(1, membership.serving(ForwardFixture.PLAIN, scheduler.now()).size)
                val boundAt = maxOf(removedAt + drainBound, silentAt + contactBound)
                scheduler.advance(boundAt - scheduler.now())
                val name = "silent $sinceWatch ms after 20 s, removed $sinceSilence ms later"
                assertEquals(emptyList(), membership.serving(ForwardFixture.PLAIN, scheduler.now()), name)
            }
        }
    }

    @Test
    fun restoredRegistryIsReadAnewAndNothingOfAnotherEpochIsApplied() {
        data class Case(
            val name: String,
            val reads: List<Long>,
            val watches: List<Long>,
            val changes: String,
            val watched: String,
        )
        listOf(
            Case("not restored", listOf(1), listOf(1), "full limit leader", "10 11"),
            Case("a watch shows it", listOf(1, 2), listOf(2), "full limit restored full", "10 5"),
            Case("a read shows it", listOf(1, 2), listOf(3), "full limit restored full", "10 5"),
            Case("late answer to a watch", listOf(2, 2), listOf(1, 2), "full limit full limit leader", "5 5 6"),
            Case("late answer to a read", listOf(2, 1, 2), listOf(1), "full limit full limit", "5 5"),
            Case("twice", listOf(1, 2, 3), listOf(2, 3), "full limit restored full restored full", "10 5 3"),
        ).forEach { case ->
            val scheduler = VirtualScheduler()
            val registry = RestoredRegistry(scheduler, ArrayDeque(case.reads), ArrayDeque(case.watches))
            val changes = ArrayList<String>()
            val listener = object : RegistryListener {
                override fun onConfiguration(configuration: ForwardConfiguration) = Unit

                override fun onChange(change: RegistryChange) {
                    changes += when (change) {
                        is RegistryChange.FullRead -> "full"
                        is RegistryChange.RequestLimitReported -> "limit"
                        is RegistryChange.LeaderChanged -> "leader"
                        RegistryChange.Restored -> "restored"
                        else -> "$change"
                    }
                }
            }
            RegistryFollower(registry, scheduler, listener).start()
            scheduler.advance(5.seconds)
            assertEquals(case.changes, changes.joinToString(" "), case.name)
            assertEquals(case.watched, registry.watchedRevisions.joinToString(" "), case.name)
        }
    }
}
