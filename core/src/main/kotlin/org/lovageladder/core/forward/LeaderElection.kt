package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.time.Duration

/** A lease on the right to give orders. [fencingNumber] is higher than that of every earlier holder. */
public data class LeaderLease(val lease: RegistryLease, val fencingNumber: Long)

/** Outcome of an attempt to become the leader. */
public sealed interface AcquisitionResult {
    /** Leadership was acquired under [lease]. */
    public data class Acquired(val lease: LeaderLease) : AcquisitionResult

    /** Another process is the leader. */
    public data object HeldByOther : AcquisitionResult

    /** Unknown whether leadership was acquired; if so, the lease expires unused. */
    public data class Unknown(val detail: String) : AcquisitionResult
}

/** Port to the store that grants leadership to one process at a time. */
public interface LeadershipPort {
    /** Tries to acquire leadership for [period]. */
    public fun acquire(period: Duration, answer: (AcquisitionResult) -> Unit)

    /** Extends [lease] by its period from the arrival of the call. [answer] gets whether the lease was still valid. */
    public fun renew(lease: LeaderLease, answer: (Boolean) -> Unit)
}

/**
 * Leader election under a lease of [period]. This process tries to acquire leadership when the registry shows no
 * leader.
 *
 * Two margins keep orders of two leaders apart: the lease counts as valid only until a margin before it may expire,
 * measured from when the last successful call was sent, and orders are allowed only once the leases of earlier holders
 * must have expired. Confined to one thread.
 */
public class LeaderElection(
    private val port: LeadershipPort,
    private val scheduler: Scheduler,
    private val period: Duration,
    private val jitter: () -> Double,
) {
    private var lease: LeaderLease? = null
    private var ordersAllowedAt = Moment(0)
    private var validUntil = Moment(0)
    private var isHeldElsewhere = false
    private var scheduledAcquisition: Cancellable? = null

    /** The lease under which orders may be given now; null when they may not. */
    public val activeLease: LeaderLease?
        get() {
            val now = scheduler.now()
            return lease?.takeIf { now >= ordersAllowedAt && now < validUntil }
        }

    /** Begins to compete for leadership. */
    public fun start() {
        scheduleAcquisition(period * jitter())
    }

    /** Records whether the registry shows a leader. */
    public fun onLeaderObserved(isHeld: Boolean) {
        isHeldElsewhere = isHeld
        if (!isHeld && lease == null) scheduleAcquisition(period * jitter())
    }

    /** Gives up leadership because an upstream knows a later holder. */
    public fun resign() {
        if (lease == null) return
        lease = null
        scheduleAcquisition(period * PERIODS_AFTER_RESIGNATION)
    }

    /** The registry was restored from an older copy, in which leadership may be free or held by an earlier leader. */
    public fun onRegistryRestored() {
        lease = null
        isHeldElsewhere = false
        scheduleAcquisition(period * (1 + jitter()))
    }

    private fun scheduleAcquisition(delay: Duration) {
        scheduledAcquisition?.cancel()
        scheduledAcquisition = scheduler.schedule(delay) { acquire() }
    }

    private fun acquire() {
        if (lease != null) return
        if (isHeldElsewhere) {
            isHeldElsewhere = false
            scheduleAcquisition(period * PERIODS_WHILE_HELD_ELSEWHERE * (1 + jitter()))
            return
        }
        val sentAt = scheduler.now()
        port.acquire(period) { answer ->
            when (answer) {
                is AcquisitionResult.Acquired -> onAcquired(answer.lease, sentAt)
                AcquisitionResult.HeldByOther -> scheduleAcquisition(
                    period * PERIODS_WHILE_HELD_ELSEWHERE * (1 + jitter()),
                )
                is AcquisitionResult.Unknown -> scheduleAcquisition(period * (1 + jitter()))
            }
        }
    }

    private fun onAcquired(acquired: LeaderLease, sentAt: Moment) {
        lease = acquired
        ordersAllowedAt = scheduler.now() + period
        validUntil = sentAt + period * VALID_FRACTION
        scheduler.schedule(period * RENEWAL_FRACTION) { renew(acquired) }
    }

    private fun renew(current: LeaderLease) {
        if (lease != current) return
        val sentAt = scheduler.now()
        port.renew(current) { isExtended ->
            when {
                lease != current -> Unit
                isExtended -> {
                    validUntil = sentAt + period * VALID_FRACTION
                    scheduler.schedule(period * RENEWAL_FRACTION) { renew(current) }
                }
                else -> {
                    lease = null
                    scheduleAcquisition(period * (1 + jitter()))
                }
            }
        }
    }

    private companion object {
        const val VALID_FRACTION = 0.8
        const val RENEWAL_FRACTION = 0.33
        const val PERIODS_AFTER_RESIGNATION = 3

        /** The registry reports when there is no leader; this retry covers changes that it did not show. */
        const val PERIODS_WHILE_HELD_ELSEWHERE = 8
    }
}
