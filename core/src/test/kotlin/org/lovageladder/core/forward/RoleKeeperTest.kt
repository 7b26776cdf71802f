package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import kotlin.math.roundToInt
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** When engines change their role, who orders it, and what an order waits for. */
class RoleKeeperTest {
    /** A store in which one process leads. [answering] is whether it answers. */
    private class VirtualLeadership(private val scheduler: VirtualScheduler) : LeadershipPort {
        var holder: LeaderLease? = null
        var answering = true
        private var number = 10L

        override fun take(period: Duration, answer: (LeadershipAnswer) -> Unit) {
            if (!answering) return answerLater { answer(LeadershipAnswer.Failed("silent")) }
            if (holder != null) return answerLater { answer(LeadershipAnswer.Occupied) }
            val lease = LeaderLease(number, number++)
            holder = lease
            answerLater { answer(LeadershipAnswer.Taken(lease)) }
        }

        override fun renew(lease: LeaderLease, answer: (Boolean) -> Unit): Unit =
            answerLater { answer(answering && holder == lease) }

        private fun answerLater(action: () -> Unit) {
            scheduler.after(5.milliseconds, action)
        }
    }

    private class RecordedOrders : RoleOrders {
        val given = ArrayList<Triple<String, PoolRole, Long>>()
        val announced = ArrayList<String>()
        var answer: OrderAnswer = OrderAnswer.Accepted
        var announcing = true

        override fun announce(engine: UpstreamName, lease: LeaderLease, answer: (Boolean) -> Unit) {
            if (announcing) announced += engine.text
            answer(announcing)
        }

        override fun withdraw(engine: UpstreamName) {
            announced -= engine.text
        }

        override fun order(engine: Member, role: PoolRole, fencing: Long, answer: (OrderAnswer) -> Unit) {
            given += Triple(engine.name.text, role, fencing)
            answer(this.answer)
        }
    }

    private fun engines(prefill: Int, decode: Int): List<Member> =
        (1..prefill).map { ForwardWorld.member("p$it", ForwardWorld.ENGINES, PoolRole.PREFILL, it) } +
            (1..decode).map { ForwardWorld.member("d$it", ForwardWorld.ENGINES, PoolRole.DECODE, 100 + it) }

    private fun plan(prefill: Duration, decode: Duration, share: Double, samples: Int = 20) =
        RolePlan(usualShare = 0.25).apply {
            repeat(samples) {
                prefilled(prefill, tokens = 3_000)
                decoded(decode, share)
            }
        }

    private fun leadership(port: VirtualLeadership, scheduler: VirtualScheduler) =
        Leadership(port, scheduler, 3.seconds) { 0.0 }

    @Test
    fun enginesAreSplitByWhatRequestsCost() {
        data class Case(val plan: RolePlan, val prefill: Int, val decode: Int, val wanted: Double?, val change: String?)
        val usual = plan(100.milliseconds, 3_400.milliseconds, share = 0.11)
        val longPrompts = plan(400.milliseconds, 2_000.milliseconds, share = 0.2)
        val fewSamples = plan(1.seconds, 1.seconds, 1.0, samples = 3)
        val cases =
            listOf(
                Case(usual, prefill = 4, decode = 4, wanted = 2.47, change = "p1 DECODE"),
                Case(usual, prefill = 3, decode = 5, wanted = 2.47, change = null),
                Case(usual, prefill = 2, decode = 6, wanted = 2.47, change = null),
                Case(usual, prefill = 1, decode = 7, wanted = 2.47, change = "d1 PREFILL"),
                Case(usual, prefill = 13, decode = 25, wanted = 11.22, change = "p1 DECODE"),
                Case(longPrompts, prefill = 2, decode = 6, wanted = 5.6, change = "d1 PREFILL"),
                Case(usual, prefill = 0, decode = 2, wanted = 1.0, change = "d1 PREFILL"),
                Case(usual, prefill = 0, decode = 1, wanted = null, change = null),
                Case(fewSamples, prefill = 4, decode = 4, wanted = 2.85, change = "p1 DECODE"),
                Case(fewSamples, prefill = 3, decode = 5, wanted = 2.85, change = null),
            )
        cases.forEach { case ->
            val members = engines(case.prefill, case.decode)
            assertEquals(
                case.wanted,
                case.plan.prefillEngines(members.size)?.let {
                    (it * 100).roundToInt() / 100.0
                },
                "$case",
            )
            val change = case.plan.nextChange(members) { it.address.port }
            assertEquals(case.change, change?.let { "${it.engine.name} ${it.role}" }, "$case")
        }
    }

    @Test
    fun leadershipCountsOnlyWhileItsLeaseSurelyHolds() {
        val scheduler = VirtualScheduler()
        val port = VirtualLeadership(scheduler)
        val leadership = leadership(port, scheduler)
        leadership.start()
        scheduler.advance(2.seconds)
        assertNull(leadership.inForce?.fencing, "earlier holders may still think that they hold it")
        scheduler.advance(2.seconds)
        assertEquals(10, leadership.inForce?.fencing)
        port.answering = false
        scheduler.advance(3.seconds)
        assertNull(leadership.inForce?.fencing)
        port.answering = true
        port.holder = null
        scheduler.advance(20.seconds)
        assertEquals(11, leadership.inForce?.fencing)
    }

    /** Load pattern: long queues at prefill, in which a prompt waits for others far longer than it is read. */
    @Test
    fun promptsThatWaitDoNotMakePrefillLookDear() {
        val plan = plan(100.milliseconds, 3_400.milliseconds, share = 0.11)
        repeat(200) { plan.prefilled(if (it % 3 == 0) 100.milliseconds else 700.milliseconds, tokens = 3_000) }
        assertTrue(checkNotNull(plan.prefillEngines(8)) < 3.0, "${plan.prefillEngines(8)}")
    }

    @Test
    fun leadershipIsTakenSoonAfterTheRegistryShowsItFree() {
        val scheduler = VirtualScheduler()
        val port = VirtualLeadership(scheduler).apply { holder = LeaderLease(1, 1) }
        val leadership = leadership(port, scheduler)
        leadership.start()
        leadership.observed(held = true)
        scheduler.advance(10.seconds)
        assertNull(leadership.inForce)
        port.holder = null
        leadership.observed(held = false)
        scheduler.advance(4.seconds)
        assertEquals(10, leadership.inForce?.fencing)
    }

    @Test
    fun onlyOneOfTwoLeads() {
        val scheduler = VirtualScheduler()
        val port = VirtualLeadership(scheduler)
        val contenders = List(2) { leadership(port, scheduler) }
        contenders.forEach { it.start() }
        scheduler.advance(60.seconds)
        assertEquals(1, contenders.count { it.inForce != null })
    }

    @Test
    fun oneOrderAtATimeUntilTheRegistryShowsIt() {
        val world = RoleWorld()
        world.keepFor(9.seconds)
        assertEquals(listOf(Triple("p1", PoolRole.DECODE, 10L)), world.orders.given)
        world.keepFor(10.seconds)
        assertEquals(1, world.orders.given.size)
        world.showRole("p1", PoolRole.DECODE)
        world.keepFor(2.seconds)
        assertEquals(1, world.orders.given.size, "three of eight prefill now, which is less than one too many")
    }

    @Test
    fun orderWhoseAnswerWasLostIsNotRepeatedWhileItMayStillBeCarriedOut() {
        val world = RoleWorld()
        world.orders.answer = OrderAnswer.Unknown("silent")
        world.keepFor(25.seconds)
        assertEquals(1, world.orders.given.size)
        world.keepFor(8.seconds)
        assertEquals(2, world.orders.given.size)
    }

    @Test
    fun engineIsLeftOutBeforeItsOrderAndUntilItsRoleShows() {
        val world = RoleWorld()
        world.keepFor(7_500.milliseconds)
        assertEquals(listOf("p1"), world.orders.announced)
        assertEquals(emptyList(), world.orders.given)
        world.keepFor(1.seconds)
        assertEquals(1, world.orders.given.size)
        world.showRole("p1", PoolRole.DECODE)
        world.keepFor(1.seconds)
        assertEquals(emptyList(), world.orders.announced)
    }

    /** Load pattern: upstreams crash and are back some seconds later; a change would cost requests twice. */
    @Test
    fun needForAChangeMustLastOnceRequestsRun() {
        data class Case(val samples: Int, val ordersAfter: Duration)
        listOf(
            Case(samples = 20, ordersAfter = 8.seconds),
            Case(samples = 0, ordersAfter = 4.seconds),
        ).forEach { case ->
            val world = RoleWorld(plan(100.milliseconds, 3_400.milliseconds, share = 0.11, samples = case.samples))
            world.keepFor(case.ordersAfter - 500.milliseconds)
            assertEquals(0, world.orders.given.size, "$case")
            world.keepFor(1.seconds)
            assertEquals(1, world.orders.given.size, "$case")
        }
    }

    @Test
    fun engineThatCouldNotBeAnnouncedGetsNoOrder() {
        val world = RoleWorld()
        world.orders.announcing = false
        world.keepFor(10.seconds)
        assertEquals(emptyList(), world.orders.given)
    }

    @Test
    fun enginesAnnouncedByAnyProcessGetNoRequests() {
        val membership = Membership().apply { apply(RegistryChange.ReadWhole(engines(1, 1)), Moment(0)) }
        fun serving() = membership.serving(ForwardWorld.ENGINES, Moment(0)).map { it.name.text }.sorted()
        membership.apply(RegistryChange.RoleChanging(UpstreamName("d1"), changing = true), Moment(0))
        assertEquals(listOf("p1"), serving())
        membership.apply(RegistryChange.RoleChanging(UpstreamName("d1"), changing = false), Moment(0))
        assertEquals(listOf("d1", "p1"), serving())
    }

    @Test
    fun holderThatIsOutdatedGivesLeadershipUp() {
        val world = RoleWorld()
        world.orders.answer = OrderAnswer.Refused(412, outdated = true)
        world.keepFor(9.seconds)
        assertEquals(1, world.orders.given.size)
        assertNull(world.leadership.inForce?.fencing)
    }

    private inner class RoleWorld(
        private val plan: RolePlan = plan(100.milliseconds, 3_400.milliseconds, share = 0.11),
    ) {
        val scheduler = VirtualScheduler()
        val membership = Membership().apply { apply(RegistryChange.ReadWhole(engines(4, 4)), scheduler.now()) }
        val orders = RecordedOrders()
        val leadership = leadership(VirtualLeadership(scheduler), scheduler).apply { start() }
        private val budget = RetryBudget(RetryLimits(0.1, 1.0, 10.seconds)) { 1 }
        private val random = kotlin.random.Random(1)
        private val notices = UpstreamNotices(2.seconds)
        private val board = UpstreamBoard(membership, notices, ForwardWorld.HOME, random)
        private val context =
            ForwardContext(
                calls = VirtualUpstreams(scheduler),
                scheduler = scheduler,
                board = board,
                membership = membership,
                notices = notices,
                answers = AnswerBuffers(each = 1_000, all = 1_000),
                budget = budget,
                log = {},
                random = random,
            )
        private val keeper = RoleKeeper(context, leadership, orders)
        private val traits = assertNotNull(ForwardWorld.configuration().services.getValue(ForwardWorld.ENGINES).engine)

        fun showRole(engine: String, role: PoolRole) {
            val shown = engines(4, 4).single { it.name.text == engine }.copy(role = role, revision = 2)
            membership.apply(RegistryChange.Written(shown), scheduler.now())
        }

        fun keepFor(duration: Duration) {
            repeat((duration / 500.milliseconds).toInt()) {
                scheduler.advance(500.milliseconds)
                keeper.keep(ForwardWorld.ENGINES, traits, plan) { it.address.port }
                keeper.keep(ServiceName("other-engines"), traits, plan) { it.address.port }
            }
        }
    }
}
