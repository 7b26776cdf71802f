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
 * Holds the seat while it can. It counts as held only until a margin before the lease may end, reckoned from when the
 * last successful call was sent, and for orders only once the leases of earlier holders are surely over. Confined to
 * one thread.
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

    /** The fencing number under which orders may be given now; null when they may not. */
    public val fencing: Long?
        get() {
            val now = scheduler.now()
            return lease?.fencing?.takeIf { now >= orderingFrom && now < heldUntil }
        }

    /** Begins to contend for the seat. */
    public fun start() {
        val sent = scheduler.now()
        port.take(period) { answer ->
            when (answer) {
                is SeatAnswer.Taken -> {
                    lease = answer.lease
                    orderingFrom = scheduler.now() + period
                    heldUntil = sent + period * HELD_SHARE
                    scheduler.after(period * RENEWAL_SHARE) { renew(answer.lease) }
                }
                SeatAnswer.Occupied -> contendAgain(period * OCCUPIED_PERIODS)
                is SeatAnswer.Failed -> contendAgain(period)
            }
        }
    }

    /** Gives the seat up: an upstream knows a later holder. */
    public fun abandon() {
        if (lease == null) return
        lease = null
        contendAgain(period * OCCUPIED_PERIODS)
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
                    contendAgain(period)
                }
            }
        }
    }

    private fun contendAgain(least: Duration) {
        scheduler.after(least * (1 + jitter())) { start() }
    }

    private companion object {
        const val HELD_SHARE = 0.8
        const val RENEWAL_SHARE = 0.33
        const val OCCUPIED_PERIODS = 3
    }
}
