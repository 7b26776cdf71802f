package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.time.Duration

/** A lease on the right to give orders. [fencing] is higher than that of every earlier holder. */
public data class LeaderLease(val id: Long, val fencing: Long)

/** Outcome of an attempt to become the leader. */
public sealed interface LeadershipAnswer {
    /** It is held under [lease]. */
    public data class Taken(val lease: LeaderLease) : LeadershipAnswer

    /** Another process holds it. */
    public data object Occupied : LeadershipAnswer

    /** It is not known whether it was taken; if it was, it lapses. */
    public data class Failed(val detail: String) : LeadershipAnswer
}

/** Leadership of one process, which gives orders; kept where all processes see it. */
public interface LeadershipPort {
    /** Tries to become the leader for [period]. */
    public fun take(period: Duration, answer: (LeadershipAnswer) -> Unit)

    /** Extends [lease] by its period from the arrival of the call; tells whether it still held. */
    public fun renew(lease: LeaderLease, answer: (Boolean) -> Unit)
}

/**
 * Leads while it can, and contends for leadership when the registry shows no leader. It counts as leader only
 * until a margin before the lease may end, reckoned from when the last successful call was sent, and for orders only
 * once the leases of earlier holders are surely over. Confined to one thread.
 */
public class Leadership(
    private val port: LeadershipPort,
    private val scheduler: Scheduler,
    private val period: Duration,
    private val jitter: () -> Double,
) {
    private var lease: LeaderLease? = null
    private var orderingFrom = Moment(0)
    private var heldUntil = Moment(0)
    private var occupied = false
    private var contention: RunningCall? = null

    /** The lease under which orders may be given now; null when they may not. */
    public val inForce: LeaderLease?
        get() {
            val now = scheduler.now()
            return lease?.takeIf { now >= orderingFrom && now < heldUntil }
        }

    /** Begins to contend for leadership. */
    public fun start() {
        contendAfter(period * jitter())
    }

    /** The registry shows whether some process leads. */
    public fun observed(held: Boolean) {
        occupied = held
        if (!held && lease == null) contendAfter(period * jitter())
    }

    /** Gives leadership up: an upstream knows a later holder. */
    public fun abandon() {
        if (lease == null) return
        lease = null
        contendAfter(period * ABANDONED_PERIODS)
    }

    private fun contendAfter(delay: Duration) {
        contention?.cancel()
        contention = scheduler.after(delay) { contend() }
    }

    private fun contend() {
        if (lease != null) return
        if (occupied) {
            occupied = false
            contendAfter(period * OCCUPIED_PERIODS * (1 + jitter()))
            return
        }
        val sent = scheduler.now()
        port.take(period) { answer ->
            when (answer) {
                is LeadershipAnswer.Taken -> taken(answer.lease, sent)
                LeadershipAnswer.Occupied -> contendAfter(period * OCCUPIED_PERIODS * (1 + jitter()))
                is LeadershipAnswer.Failed -> contendAfter(period * (1 + jitter()))
            }
        }
    }

    private fun taken(taken: LeaderLease, sent: Moment) {
        lease = taken
        orderingFrom = scheduler.now() + period
        heldUntil = sent + period * HELD_SHARE
        scheduler.after(period * RENEWAL_SHARE) { renew(taken) }
    }

    private fun renew(held: LeaderLease) {
        if (lease != held) return
        val sent = scheduler.now()
        port.renew(held) { extended ->
            when {
                lease != held -> Unit
                extended -> {
                    heldUntil = sent + period * HELD_SHARE
                    scheduler.after(period * RENEWAL_SHARE) { renew(held) }
                }
                else -> {
                    lease = null
                    contendAfter(period * (1 + jitter()))
                }
            }
        }
    }

    private companion object {
        const val HELD_SHARE = 0.8
        const val RENEWAL_SHARE = 0.33
        const val ABANDONED_PERIODS = 3

        /** The registry tells when there is no leader; this is for changes that it did not show. */
        const val OCCUPIED_PERIODS = 8
    }
}
