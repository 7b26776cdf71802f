package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.time.Duration

/** A lease on the right to give orders. [fencing] is higher than that of every earlier holder. */
public data class SeatLease(val id: Long, val fencing: Long)

/** Outcome of an attempt to take the seat. */
public sealed interface SeatAnswer {
    /** It is held under [lease]. */
    public data class Taken(val lease: SeatLease) : SeatAnswer

    /** Another process holds it. */
    public data object Occupied : SeatAnswer

    /** It is not known whether it was taken; if it was, it lapses. */
    public data class Failed(val detail: String) : SeatAnswer
}

/** The one seat whose holder gives orders, kept where all processes see it. */
public interface OrderSeatPort {
    /** Tries to take the seat for [period]. */
    public fun take(period: Duration, answer: (SeatAnswer) -> Unit)

    /** Extends [lease] by its period from the arrival of the call; tells whether it still held. */
    public fun renew(lease: SeatLease, answer: (Boolean) -> Unit)
}

/**
 * Holds the seat while it can, and contends for it when the registry shows that it is free. It counts as held only
 * until a margin before the lease may end, reckoned from when the last successful call was sent, and for orders only
 * once the leases of earlier holders are surely over. Confined to one thread.
 */
public class OrderSeat(
    private val port: OrderSeatPort,
    private val scheduler: Scheduler,
    private val period: Duration,
    private val jitter: () -> Double,
) {
    private var lease: SeatLease? = null
    private var orderingFrom = Moment(0)
    private var heldUntil = Moment(0)
    private var occupied = false
    private var contention: RunningCall? = null

    /** The lease under which orders may be given now; null when they may not. */
    public val inForce: SeatLease?
        get() {
            val now = scheduler.now()
            return lease?.takeIf { now >= orderingFrom && now < heldUntil }
        }

    /** Begins to contend for the seat. */
    public fun start() {
        contendAfter(period * jitter())
    }

    /** The registry shows whether some process holds the seat. */
    public fun observed(held: Boolean) {
        occupied = held
        if (!held && lease == null) contendAfter(period * jitter())
    }

    /** Gives the seat up: an upstream knows a later holder. */
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
                is SeatAnswer.Taken -> taken(answer.lease, sent)
                SeatAnswer.Occupied -> contendAfter(period * OCCUPIED_PERIODS * (1 + jitter()))
                is SeatAnswer.Failed -> contendAfter(period * (1 + jitter()))
            }
        }
    }

    private fun taken(taken: SeatLease, sent: Moment) {
        lease = taken
        orderingFrom = scheduler.now() + period
        heldUntil = sent + period * HELD_SHARE
        scheduler.after(period * RENEWAL_SHARE) { renew(taken) }
    }

    private fun renew(held: SeatLease) {
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

        /** The registry tells when the seat is free; this is for changes that it did not show. */
        const val OCCUPIED_PERIODS = 8
    }
}
