package org.lovageladder.core.forward.quota

import org.lovageladder.core.Moment
import org.lovageladder.core.ProcessName
import org.lovageladder.core.forward.EntryCounter
import org.lovageladder.core.forward.Scheduler
import org.lovageladder.core.forward.messaging.EntryMessagePort
import org.lovageladder.core.forward.messaging.ReachabilityProbe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Estimates how many of the other entries reach this one. Those that do not admit their own shares of each quota, which
 * the owner of an account must leave to them. An entry is within reach when a message of it came within
 * [RECENT_PERIOD]. While an account is contended, some of the entries that were not heard of are asked, and the others
 * are assumed to be alike. Confined to one thread.
 */
internal class EntryReachability(
    private val self: ProcessName,
    private val entryCounter: EntryCounter,
    private val scheduler: Scheduler,
    private val port: EntryMessagePort,
    private val random: Random,
) {
    private class Check(val entry: ProcessName, val sentAt: Moment)

    private val lastHeardAt = HashMap<ProcessName, Moment>()
    private val finishedChecks = ArrayDeque<Check>()
    private val unchecked = ArrayDeque<ProcessName>()
    private var contendedAt: Moment? = null
    private var isChecking = false
    private var share = 1.0
    private var estimatedAt: Moment? = null
    private var lastSequence = 0

    /**
     * Part of the quotas that this entry grants at [now]: that of the entries within reach, itself included. If it has
     * been without the registry for long and some are out of reach, others may have taken its place, and it grants a
     * tenth of that, which is the overage that the contract allows. When only the registry fails, all are within reach.
     */
    fun share(now: Moment): Double {
        if (estimatedAt?.let { now - it < ESTIMATE_INTERVAL } == true) return share
        estimatedAt = now
        val within = estimate(now)
        val mayBeReplaced = within < CONNECTED && entryCounter.isOutdated(now)
        share = if (mayBeReplaced) within * STALE_REGISTRY_SHARE else within
        return share
    }

    /** A message of [entry] arrived. */
    fun recordHeard(entry: ProcessName, now: Moment) {
        lastHeardAt[entry] = now
    }

    /** Whether a message of [entry] arrived since [moment]. */
    fun isReceivedSince(entry: ProcessName, moment: Moment): Boolean = lastHeardAt[entry]?.let { it >= moment } ?: false

    /** This entry refused a request, so that it matters what the others admit. */
    fun recordContention(now: Moment) {
        contendedAt = now
        if (isChecking) return
        isChecking = true
        checkSome()
    }

    private fun isHeard(entry: ProcessName, now: Moment) =
        lastHeardAt[entry]?.let { now - it <= RECENT_PERIOD } ?: false

    private fun estimate(now: Moment): Double {
        lastHeardAt.values.removeIf { now - it > RETENTION }
        while (finishedChecks.firstOrNull()?.let { now - it.sentAt > RECENT_PERIOD } == true) {
            finishedChecks.removeFirst()
        }
        val others = entryCounter.messageRecipients.filter { it != self }
        val heard = others.count { isHeard(it, now) }
        val failedProbes = finishedChecks.count { check ->
            !isReceivedSince(check.entry, check.sentAt)
        }
        val answeredShare =
            if (finishedChecks.isEmpty()) 1.0 else 1 - failedProbes.toDouble() / finishedChecks.size
        val within = 1 + heard + (others.size - heard) * answeredShare
        return (within / entryCounter.count(now)).coerceIn(0.0, 1.0)
    }

    private fun checkSome() {
        val now = scheduler.now()
        isChecking = contendedAt?.let { now - it <= CONTENTION_PERIOD } ?: false
        if (!isChecking) return
        repeat(CHECKS_AT_ONCE) { nextUnheard(now)?.let { check(Check(it, now), tries = TRIES) } }
        scheduler.schedule(CHECK_INTERVAL) { checkSome() }
    }

    private fun nextUnheard(now: Moment): ProcessName? {
        if (unchecked.isEmpty()) unchecked += entryCounter.messageRecipients.shuffled(random)
        while (unchecked.isNotEmpty()) {
            val next = unchecked.removeFirst()
            if (next != self && entryCounter.messageAddressOf(next) != null && !isHeard(next, now)) return next
        }
        return null
    }

    private fun check(check: Check, tries: Int) {
        if (isReceivedSince(check.entry, check.sentAt) || tries == 0) {
            finishedChecks += check
            return
        }
        port.send(check.entry, ReachabilityProbe(++lastSequence))
        scheduler.schedule(TRY_PERIOD) { check(check, tries - 1) }
    }

    companion object {
        /** The overage that the contract of the customers allows, for entries that others may not count. */
        const val STALE_REGISTRY_SHARE = 0.1

        /** Some entries are always being restarted. */
        private const val CONNECTED = 0.9

        /** Half of a second's overage is within the bound of 8 s, so that a cut must be noticed in about a second. */
        private val RECENT_PERIOD: Duration = 1.seconds
        private val CONTENTION_PERIOD: Duration = 2.seconds
        private val RETENTION: Duration = 10.seconds
        private val ESTIMATE_INTERVAL: Duration = 50.milliseconds

        /** 30 entries are checked within 1.2 s; at 370, one in fourteen is a sample that is exact to a few percent. */
        private const val CHECKS_AT_ONCE = 4
        private val CHECK_INTERVAL: Duration = 150.milliseconds

        /** Several tries, since a lost message does not make an entry use its share for long. */
        private const val TRIES = 3
        private val TRY_PERIOD: Duration = 40.milliseconds
    }
}
