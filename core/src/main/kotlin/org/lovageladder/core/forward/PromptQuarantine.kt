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
    data class Quarantined(val part: PromptPartId, val isFinal: Boolean, val retryAt: Moment) : PromptVerdict

    /** It may be sent as a trial of all its quarantined parts, by the process that claims [trials]. */
    data class TrialDue(val trials: List<PromptReport.Trial>) : PromptVerdict
}

/**
 * Parts of prompts that crash every engine which begins to write an answer on them.
 *
 * An engine that crashes ends many streams. A part is suspected when it belongs to one that had got nothing from the
 * engine, and is cleared as soon as any engine writes on it. Crashes at nearly the same moment, as in a power loss,
 * count once. A part is quarantined after [CRASHES_TO_QUARANTINE] of them without a cleared one in between, or more
 * for a part on which engines wrote lately. A few trials, ever further apart and over all entries together, find out
 * whether a quarantined part is sound.
 *
 * Load pattern: a small share of prompts, spread over all entries, each of which ends all streams of an engine.
 * Confined to one thread.
 */
internal class PromptQuarantine {
    private class Suspect(var lastUsedAt: Moment) {
        val crashedStarts = HashSet<EngineStart>()
        var crashes = 0
        var lastCrashAt: Moment? = null
        var quarantinedAt: Moment? = null
        var trials = 0
        var nextTrialAt = lastUsedAt
        var reportedAt: Moment? = null
    }

    private val suspects = HashMap<PromptPartId, Suspect>()
    private val writtenAt =
        object : LinkedHashMap<PromptPartId, Moment>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<PromptPartId, Moment>) = size > MAXIMUM_KNOWN_PARTS
        }

    /** Number of quarantined parts. */
    val size: Int get() = suspects.values.count { it.quarantinedAt != null }

    /** What may be done with a prompt that has [parts]. */
    fun verdict(parts: List<PromptPartId>, now: Moment): PromptVerdict {
        val quarantined = parts.filter(::isQuarantined)
        if (quarantined.isEmpty()) return PromptVerdict.Admitted
        val states = quarantined.map(suspects::getValue)
        states.forEach { it.lastUsedAt = now }
        val trialAt = states.maxOf { it.nextTrialAt } + if (states.size > 1) SEVERAL_PARTS_DELAY else Duration.ZERO
        val mayTry = states.all { it.trials < MAXIMUM_TRIALS }
        if (mayTry && now >= trialAt) {
            return PromptVerdict.TrialDue(
                quarantined.zip(states) { part, state -> PromptReport.Trial(part, state.trials + 1) },
            )
        }
        val isFinal = states.any { it.trials > 0 || it.crashes > CRASHES_TO_QUARANTINE }
        return PromptVerdict.Quarantined(quarantined.first(), isFinal, retryAt = maxOf(now, trialAt))
    }

    /** Whether prompts with [part] are held back. */
    fun isQuarantined(part: PromptPartId): Boolean = suspects[part]?.quarantinedAt != null

    /** Records [crash]. Returns whether its part is quarantined from now on. */
    fun recordCrash(crash: PromptReport.Crash, now: Moment): Boolean {
        val suspect = suspects.getOrPut(crash.part) { Suspect(now) }
        if (!suspect.crashedStarts.add(crash.start)) return false
        val isSeparate = suspect.lastCrashAt?.let { now - it >= SIMULTANEOUS_CRASHES } ?: true
        if (!isSeparate) return false
        suspect.lastCrashAt = now
        suspect.lastUsedAt = now
        suspect.crashes += 1
        if (suspect.crashes < crashesToQuarantine(crash.part, now)) return false
        return quarantine(suspect, now)
    }

    /**
     * Records that another entry quarantined [part]. Returns false, and does not follow it, when an engine wrote on the
     * part just now, after all crashes that this process knows.
     */
    fun recordQuarantine(part: PromptPartId, now: Moment): Boolean {
        if (part !in suspects && wasWrittenWithin(part, REPORT_DELAY_BOUND, now)) return false
        val suspect = suspects.getOrPut(part) { Suspect(now) }
        suspect.reportedAt = now
        suspect.lastUsedAt = now
        quarantine(suspect, now)
        return true
    }

    /** Records [trial], which some entry claimed. */
    fun recordTrial(trial: PromptReport.Trial, now: Moment) {
        val suspect = suspects.getOrPut(trial.part) { Suspect(now) }
        if (trial.number <= suspect.trials) return
        suspect.trials = trial.number
        suspect.nextTrialAt = now + trialInterval(suspect.trials)
    }

    /** Records that an engine wrote on a prompt with [part]. Returns whether other entries may need to know it. */
    fun recordWritten(part: PromptPartId, now: Moment): Boolean {
        val isOftenWritten = wasWrittenWithin(part, PROOF_LIFETIME, now)
        writtenAt[part] = now
        val suspect = suspects.remove(part) ?: return false
        return suspect.quarantinedAt != null || !isOftenWritten
    }

    /** Records that another entry saw an engine write on [part]. Returns whether the part was quarantined. */
    fun recordSound(part: PromptPartId): Boolean = suspects.remove(part)?.quarantinedAt != null

    /** Whether the quarantine of [part] has to be reported to the other entries, for the first time or again. */
    fun isReportDue(part: PromptPartId, now: Moment): Boolean {
        val suspect = suspects[part] ?: return false
        if (suspect.quarantinedAt == null) return false
        return suspect.reportedAt?.let { now - it >= REPORT_INTERVAL } ?: true
    }

    /** Records that the quarantine of [part] is being reported. */
    fun recordReport(part: PromptPartId, now: Moment) {
        suspects[part]?.reportedAt = now
    }

    /** Lets the quarantine of all quarantined parts be reported again. Returns these parts. */
    fun forgetReports(): List<PromptPartId> {
        suspects.values.forEach { it.reportedAt = null }
        return suspects.keys.filter(::isQuarantined)
    }

    /** Drops the parts that no prompt had for [RETENTION]. Returns those that were quarantined. */
    fun removeExpired(now: Moment): List<PromptPartId> {
        val expired = suspects.filterValues { now - it.lastUsedAt > RETENTION }
        suspects.keys -= expired.keys
        return expired.filterValues { it.quarantinedAt != null }.keys.toList()
    }

    private fun quarantine(suspect: Suspect, now: Moment): Boolean {
        if (suspect.quarantinedAt != null) return false
        suspect.quarantinedAt = now
        suspect.nextTrialAt = maxOf(suspect.nextTrialAt, now + trialInterval(suspect.trials))
        return true
    }

    private fun crashesToQuarantine(part: PromptPartId, now: Moment) =
        if (wasWrittenWithin(part, PROOF_LIFETIME, now)) CRASHES_TO_DISPROVE else CRASHES_TO_QUARANTINE

    private fun wasWrittenWithin(part: PromptPartId, span: Duration, now: Moment) =
        writtenAt[part]?.let { now - it < span } ?: false

    private fun trialInterval(trials: Int): Duration {
        var interval = FIRST_TRIAL_INTERVAL
        repeat(trials) { interval *= TRIAL_INTERVAL_GROWTH }
        return interval
    }

    private companion object {
        const val CRASHES_TO_QUARANTINE = 2

        /** Crashes that outweigh an answer written within [PROOF_LIFETIME]. */
        const val CRASHES_TO_DISPROVE = 4

        /** Each trial may end the streams of one more engine. */
        const val MAXIMUM_TRIALS = 3
        val FIRST_TRIAL_INTERVAL: Duration = 2.seconds
        const val TRIAL_INTERVAL_GROWTH = 5

        /** Time for prompts with one of the parts to be tried first, since only they tell the parts apart. */
        val SEVERAL_PARTS_DELAY: Duration = 4.seconds

        /** Crashes within this time of each other may have one cause outside of the prompts. */
        val SIMULTANEOUS_CRASHES: Duration = 250.milliseconds
        val PROOF_LIFETIME: Duration = 60.seconds

        /** Time in which a report of another entry may have crossed a written answer. */
        val REPORT_DELAY_BOUND: Duration = 2.seconds

        /** Reports lapse in the registry after twice this time. */
        val REPORT_INTERVAL: Duration = 5.minutes
        val RETENTION: Duration = 10.minutes
        const val MAXIMUM_KNOWN_PARTS = 20_000
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
