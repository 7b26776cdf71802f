package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Whether a prompt may be sent to an engine. */
internal sealed interface PromptVerdict {
    /** It may be sent. */
    data object Admitted : PromptVerdict

    /**
     * It may not be sent, because of its part [part]. Unless the verdict [isFinal], a trial may show at [retryAt] that
     * the part is sound.
     */
    data class Quarantined(val part: RequestTrait, val isFinal: Boolean, val retryAt: Moment) : PromptVerdict

    /** It may be sent as a trial of all its quarantined parts, by the process that claims [trials]. */
    data class TrialDue(val trials: List<PromptReport.Trial>) : PromptVerdict
}

/**
 * Parts of prompts that crash every engine which begins to write an answer on them.
 *
 * An engine that crashes ends many streams. A part is suspected when it belongs to one that was early in its answer
 * ([PromptWatch]), and is cleared as soon as an engine outlives an answer on it that began later. Crashes at nearly
 * the same moment, as in a power loss, count once. A part is quarantined after [CRASHES_TO_QUARANTINE] of them without
 * being cleared in between, or more for a part that engines outlived lately. A few trials, ever further apart and over
 * all entries together, find out whether a quarantined part is sound.
 *
 * Load pattern: a small share of prompts, spread over all entries, each of which ends all streams of an engine.
 * Confined to one thread.
 */
internal class PromptQuarantine {
    private class Suspect(var lastUsedAt: Moment) {
        val crashedStarts = HashSet<EngineStart>()

        /** When the answers began, or were about to begin, amid which engines crashed. */
        val crashedAnswers = ArrayList<Moment>()
        var lastCrashAt: Moment? = null

        /** Whether a crash came amid an answer that began after another crash: no single moment explains both. */
        var hasSequence = false
        private var lastLostAt: Moment? = null
        var quarantinedAt: Moment? = null
        var quarantineSeenAt: Moment? = null
        var trials = 0
        var nextTrialAt = lastUsedAt
        var reportedAt: Moment? = null

        /** Records a crash at [lostAt] amid an answer that began at [beganAt], null when that is not known. */
        fun recordSequence(beganAt: Moment?, lostAt: Moment) {
            val last = lastLostAt
            if (beganAt != null && last != null && beganAt >= last) hasSequence = true
            lastLostAt = lostAt
        }
    }

    private val suspects = HashMap<RequestTrait, Suspect>()
    private var digestCount = 0
    private val outlivedAt =
        object : LinkedHashMap<RequestTrait, Moment>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<RequestTrait, Moment>) = size > MAXIMUM_KNOWN_PARTS
        }

    /** Number of quarantined parts. */
    val size: Int get() = suspects.values.count { it.quarantinedAt != null }

    /** Whether the digest of any request is suspected. */
    val hasDigests: Boolean get() = digestCount > 0

    /** What may be done with a prompt that has [parts]. */
    fun verdict(parts: List<RequestTrait>, now: Moment): PromptVerdict {
        val quarantined = parts.filter(::isQuarantined)
        if (quarantined.isEmpty()) return PromptVerdict.Admitted
        val states = quarantined.map(suspects::getValue)
        states.forEach { it.lastUsedAt = now }
        val hasSeveral = parts.count { it in suspects } > 1
        val trialAt = states.maxOf { it.nextTrialAt } + if (hasSeveral) SEVERAL_PARTS_DELAY else Duration.ZERO
        val mayTry = quarantined.zip(states).all { (part, state) -> state.trials < maximumTrials(part) }
        if (mayTry && now >= trialAt) {
            return PromptVerdict.TrialDue(
                quarantined.zip(states) { part, state -> PromptReport.Trial(part, state.trials + 1) },
            )
        }
        val isFinal = states.any { it.trials > 0 || it.crashedAnswers.size > CRASHES_TO_QUARANTINE }
        return PromptVerdict.Quarantined(quarantined.first(), isFinal, retryAt = maxOf(now, trialAt))
    }

    /** Whether prompts with [part] are held back. */
    fun isQuarantined(part: RequestTrait): Boolean = suspects[part]?.quarantinedAt != null

    /**
     * Records [crash] amid an answer that began at [beganAt] and was lost at [lostAt]. Returns whether its part is
     * quarantined from now on. [delayBound] is the time in which the news of crashes at one moment arrive; parts that
     * engines outlived lately need more crashes instead.
     */
    fun recordCrash(
        crash: PromptReport.Crash,
        beganAt: Moment,
        now: Moment,
        delayBound: Duration = Duration.ZERO,
        lostAt: Moment = now,
    ): Boolean {
        if (isExplained(crash)) return false
        val suspect = suspectOf(crash.part, now)
        if (!suspect.crashedStarts.add(crash.start)) return false
        suspect.lastUsedAt = now
        suspect.recordSequence(beganAt.takeIf { delayBound == Duration.ZERO }, lostAt)
        val wasOutlived = wasOutlivedWithin(crash.part, PROOF_LIFETIME, now)
        val separation = if (wasOutlived) SIMULTANEOUS_CRASHES else SIMULTANEOUS_CRASHES + delayBound
        val isSeparate = suspect.lastCrashAt?.let { now - it >= separation } ?: true
        if (isSeparate) {
            suspect.lastCrashAt = now
            suspect.crashedAnswers += beganAt
        }
        val crashesToQuarantine = if (wasOutlived) CRASHES_TO_DISPROVE else CRASHES_TO_QUARANTINE
        val hasEnough = isSeparate && suspect.crashedAnswers.size >= crashesToQuarantine
        val isSequence = crash.part.isDigest && !wasOutlived && suspect.hasSequence
        val isRepeated = isSequence && suspect.crashedStarts.size >= CRASHES_IN_SEQUENCE
        return (hasEnough || isRepeated) && quarantine(suspect, now)
    }

    /** Whether an upstream crashed while it ran [request], and none has outlived it since. */
    fun isSuspected(request: RequestTrait): Boolean = suspects[request]?.crashedStarts.orEmpty().isNotEmpty()

    /**
     * Records that another entry quarantined [part]. Returns false, and does not follow it, when an engine outlived an
     * answer on the part that began just now, after all crashes that this process knows.
     */
    fun recordQuarantine(part: RequestTrait, now: Moment): Boolean {
        if (part !in suspects && wasOutlivedWithin(part, REPORT_DELAY_BOUND, now)) return false
        val suspect = suspectOf(part, now)
        suspect.reportedAt = now
        suspect.lastUsedAt = now
        if (quarantine(suspect, now)) suspect.quarantineSeenAt = now
        return true
    }

    /** Records [trial], which some entry claimed. */
    fun recordTrial(trial: PromptReport.Trial, now: Moment) {
        val suspect = suspectOf(trial.part, now)
        if (trial.number <= suspect.trials) return
        suspect.trials = trial.number
        suspect.nextTrialAt = now + trialInterval(suspect.trials)
    }

    /**
     * Records that an engine outlived an answer on a prompt with [part] that began at [beganAt]. The part was sound
     * then, so that it did not cause the crashes amid answers that had begun before. Returns whether other entries may
     * need to know it.
     */
    fun recordOutlived(part: RequestTrait, beganAt: Moment, now: Moment): Boolean {
        val isOftenOutlived = wasOutlivedWithin(part, PROOF_LIFETIME, now)
        outlivedAt[part] = maxOf(beganAt, outlivedAt[part] ?: beganAt)
        val suspect = suspects[part] ?: return false
        val crashes = suspect.crashedAnswers.size
        suspect.crashedAnswers.removeAll { it <= beganAt }
        val isQuarantineOlder = suspect.quarantineSeenAt?.let { it <= beganAt } ?: true
        if (suspect.crashedAnswers.isNotEmpty() || !isQuarantineOlder) return false
        drop(part)
        return suspect.quarantinedAt != null || crashes >= CRASHES_TO_QUARANTINE || !isOftenOutlived
    }

    /** Records that another entry saw an engine outlive an answer on [part]. Returns whether it was quarantined. */
    fun recordSound(part: RequestTrait): Boolean = drop(part)?.quarantinedAt != null

    /** Whether the quarantine of [part] has to be reported to the other entries, for the first time or again. */
    fun isReportDue(part: RequestTrait, now: Moment): Boolean {
        val suspect = suspects[part] ?: return false
        if (suspect.quarantinedAt == null) return false
        return suspect.reportedAt?.let { now - it >= REPORT_INTERVAL } ?: true
    }

    /** Records that the quarantine of [part] is being reported. */
    fun recordReport(part: RequestTrait, now: Moment) {
        suspects[part]?.reportedAt = now
    }

    /** Lets the quarantine of all quarantined parts be reported again. Returns these parts. */
    fun forgetReports(): List<RequestTrait> {
        suspects.values.forEach { it.reportedAt = null }
        return suspects.keys.filter(::isQuarantined)
    }

    /** Drops the parts that no prompt had for [RETENTION]. Returns those that were quarantined. */
    fun removeExpired(now: Moment): List<RequestTrait> {
        val expired = suspects.filterValues { now - it.lastUsedAt > RETENTION }
        expired.keys.forEach(::drop)
        return expired.filterValues { it.quarantinedAt != null }.keys.toList()
    }

    /** Whether [crash] has its cause in a quarantined request as a whole, which is reported before its parts. */
    private fun isExplained(crash: PromptReport.Crash): Boolean {
        if (crash.part.isDigest || !hasDigests) return false
        return suspects.any { (trait, suspect) ->
            trait.isDigest && suspect.quarantinedAt != null && crash.start in suspect.crashedStarts
        }
    }

    private fun suspectOf(part: RequestTrait, now: Moment): Suspect = suspects.getOrPut(part) {
        if (part.isDigest) digestCount += 1
        Suspect(now)
    }

    private fun drop(part: RequestTrait): Suspect? {
        val dropped = suspects.remove(part) ?: return null
        if (part.isDigest) digestCount -= 1
        return dropped
    }

    private fun quarantine(suspect: Suspect, now: Moment): Boolean {
        if (suspect.quarantinedAt != null) return false
        suspect.quarantinedAt = now
        suspect.nextTrialAt = maxOf(suspect.nextTrialAt, now + trialInterval(suspect.trials))
        return true
    }

    private fun wasOutlivedWithin(part: RequestTrait, span: Duration, now: Moment) =
        outlivedAt[part]?.let { now - it < span } ?: false

    private fun maximumTrials(part: RequestTrait) = if (part.isDigest) MAXIMUM_REQUEST_TRIALS else MAXIMUM_TRIALS

    private fun trialInterval(trials: Int): Duration {
        var interval = FIRST_TRIAL_INTERVAL
        repeat(trials) { interval *= TRIAL_INTERVAL_GROWTH }
        return interval
    }

    private companion object {
        const val CRASHES_TO_QUARANTINE = 2

        /** Crashes that outweigh an answer outlived within [PROOF_LIFETIME]. */
        const val CRASHES_TO_DISPROVE = 4

        /** Each trial may end the streams of one more engine. */
        const val MAXIMUM_TRIALS = 3

        /** A request concerns fewer callers than a part of many prompts. */
        const val MAXIMUM_REQUEST_TRIALS = 2

        /** Crashes of different starts, not all at one moment, that quarantine a request however soon they come. */
        const val CRASHES_IN_SEQUENCE = 3
        val FIRST_TRIAL_INTERVAL: Duration = 2.seconds
        const val TRIAL_INTERVAL_GROWTH = 5

        /** Time for prompts with one suspected part to be tried first, since only they tell the parts apart. */
        val SEVERAL_PARTS_DELAY: Duration = 4.seconds

        /** Crashes within this time of each other may have one cause outside of the prompts. */
        val SIMULTANEOUS_CRASHES: Duration = 250.milliseconds
        val PROOF_LIFETIME: Duration = 60.seconds

        /** Time in which a report of another entry may have crossed an outlived answer. */
        val REPORT_DELAY_BOUND: Duration = 2.seconds

        /** Reports lapse in the registry after twice this time. */
        val REPORT_INTERVAL: Duration = 5.minutes
        val RETENTION: Duration = 10.minutes
        const val MAXIMUM_KNOWN_PARTS = 20_000
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
