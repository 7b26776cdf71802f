package org.lovageladder.core.forward

import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.Moment
import org.lovageladder.core.RequestId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps prompts that crash engines away from them. Connects the [PromptQuarantine] with the streams of this process and
 * with the reports of all entries. Confined to one thread.
 */
internal class PromptGuard(
    private val entries: EntryCounter,
    private val scheduler: Scheduler,
    private val eventSink: EventSink,
    private val random: Random,
) {
    private val quarantine = PromptQuarantine()
    private val explainedCrashes = HashMap<RequestTrait, ArrayList<ObservedCrash>>()
    private val scheduledReports = HashSet<RequestTrait>()
    private val scheduledSoundReports = HashSet<RequestTrait>()
    private var port: PromptReportPort? = null
    private var reporter: PromptReporter? = null

    /** Number of quarantined parts. */
    val quarantinedParts: Int get() = quarantine.size

    /** Begins to report to the other entries through [port]. */
    fun startReports(port: PromptReportPort) {
        this.port = port
        reporter = PromptReporter(scheduler, port) { dropped ->
            record(EventKind.PROMPT_REPORT_DROPPED, detail = "$dropped")
        }
    }

    /** What may be done with [request]. */
    fun verdict(request: ForwardRequest): PromptVerdict {
        val now = scheduler.now()
        val verdict = quarantine.verdict(knownTraits(request), now)
        if (verdict is PromptVerdict.Quarantined && quarantine.isReportDue(verdict.part, now)) {
            scheduleReport(verdict.part)
        }
        return verdict
    }

    /** An upstream outlived its answer to [request], which began at [beganAt]. */
    fun onOutlived(request: ForwardRequest, beganAt: Moment): Unit =
        onOutlived(request.id, knownTraits(request), beganAt)

    /** The upstream of [start] crashed at [lostAt] while it ran [request], which began at [beganAt]. */
    fun onCrash(request: ForwardRequest, start: EngineStart, beganAt: Moment, lostAt: Moment): Unit =
        onCrash(request.id, listOf(request.digest) + request.sharedParts, start, beganAt, lostAt)

    /** Whether an upstream crashed while it ran a request like [request], and none has outlived one since. */
    fun isSuspected(request: ForwardRequest): Boolean = quarantine.hasDigests && quarantine.isSuspected(request.digest)

    /** Whether [request] is held back. */
    fun isQuarantined(request: ForwardRequest): Boolean = isQuarantined(knownTraits(request))

    /** Traits of [request] that may be suspected. Its digest is not needed while no digest is. */
    private fun knownTraits(request: ForwardRequest): List<RequestTrait> =
        if (quarantine.hasDigests) listOf(request.digest) + request.sharedParts else request.sharedParts

    /** Whether a prompt with [parts] is held back. */
    fun isQuarantined(parts: List<RequestTrait>): Boolean = parts.any(quarantine::isQuarantined)

    /** Claims [trials] for [request]. [answer] gets whether the request is the one to send. */
    fun claimTrials(trials: List<PromptReport.Trial>, request: RequestId, answer: (Boolean) -> Unit) {
        trials.forEach { quarantine.recordTrial(it, scheduler.now()) }
        val claimed = { isClaimed: Boolean ->
            val outcome = if (isClaimed) "sent by this entry" else "not sent by this entry"
            record(
                EventKind.PROMPT_TRIAL,
                request,
                trials.joinToString { "part=${it.part} number=${it.number}" } + ": $outcome",
            )
            answer(isClaimed)
        }
        port?.claimTrials(trials, claimed) ?: claimed(true)
    }

    /** An engine outlived its answer on the prompt of [request] with [parts], which began at [beganAt]. */
    fun onOutlived(request: RequestId, parts: List<RequestTrait>, beganAt: Moment = scheduler.now()) {
        parts.forEach { part ->
            if (!quarantine.recordOutlived(part, beganAt, scheduler.now())) return@forEach
            record(EventKind.PROMPT_SOUND, request, "part=$part: an engine outlived an answer on it")
            scheduleSoundReport(part)
            onFoundSound(part)
        }
    }

    /**
     * The engine of [start] crashed early in its answer on the prompt of [request] with [parts], which began at
     * [beganAt] or was about to begin then. A quarantined part explains the crash: the others are suspected only if it
     * turns out to be sound.
     */
    fun onCrash(
        request: RequestId,
        parts: List<RequestTrait>,
        start: EngineStart,
        beganAt: Moment = scheduler.now(),
        lostAt: Moment = scheduler.now(),
    ) {
        val explanation = parts.firstOrNull(quarantine::isQuarantined)
        val suspects = parts.filter { it != explanation }.take(MAXIMUM_SUSPECTS)
        val crash = ObservedCrash(request, suspects, start, beganAt, lostAt)
        if (explanation == null) suspect(crash) else explainedCrashes.getOrPut(explanation) { ArrayList() } += crash
    }

    private fun suspect(observed: ObservedCrash) {
        val start = observed.start
        val crashes = observed.parts.map { PromptReport.Crash(it, start) }
        crashes.forEach { crash ->
            val detail = "part=${crash.part} engine=${start.engine} started=${start.startedAt}"
            record(EventKind.PROMPT_SUSPECTED, observed.request, detail)
            recordCrash(crash, observed.beganAt, lostAt = observed.lostAt)
        }
        reporter?.report(crashes)
    }

    /** The crashes that [part] seemed to explain have another cause. */
    private fun onFoundSound(part: RequestTrait) {
        explainedCrashes.remove(part).orEmpty().forEach(::suspect)
    }

    /** Applies [report] of any entry. */
    fun onReport(report: PromptReport) {
        val now = scheduler.now()
        when (report) {
            is PromptReport.Crash -> recordCrash(report, beganAt = now, CRASH_REPORT_DELAY)
            is PromptReport.Quarantined -> onQuarantineReported(report)
            is PromptReport.Trial -> quarantine.recordTrial(report, now)
            is PromptReport.Sound -> {
                scheduledSoundReports -= report.part
                if (quarantine.recordSound(report.part)) {
                    record(EventKind.PROMPT_SOUND, detail = "part=${report.part}: reported")
                    onFoundSound(report.part)
                }
            }
        }
    }

    /** The registry may have lost what was reported to it. */
    fun onRegistryRestored() {
        quarantine.forgetReports().forEach(::scheduleReport)
    }

    /** Drops the parts that no prompt had for long. */
    fun removeExpired() {
        quarantine.removeExpired(scheduler.now()).forEach {
            explainedCrashes -= it
            record(EventKind.PROMPT_SOUND, detail = "part=$it: no prompt had it for long")
        }
    }

    private fun onQuarantineReported(report: PromptReport.Quarantined) {
        val wasQuarantined = quarantine.isQuarantined(report.part)
        if (!quarantine.recordQuarantine(report.part, scheduler.now())) {
            reporter?.report(listOf(PromptReport.Sound(report.part)))
        } else if (!wasQuarantined) {
            record(EventKind.PROMPT_QUARANTINED, detail = "part=${report.part}: reported")
        }
    }

    private fun recordCrash(
        crash: PromptReport.Crash,
        beganAt: Moment,
        delayBound: Duration = Duration.ZERO,
        lostAt: Moment = scheduler.now(),
    ) {
        if (!quarantine.recordCrash(crash, beganAt, scheduler.now(), delayBound, lostAt)) return
        record(EventKind.PROMPT_QUARANTINED, detail = "part=${crash.part} after engine=${crash.start.engine}")
        scheduleReport(crash.part)
    }

    /** Entries report the quarantine of [part] one after the other, so that usually only the first one does. */
    private fun scheduleReport(part: RequestTrait) {
        if (!scheduledReports.add(part)) return
        val rank = entries.rank(part.text, scheduler.now()) ?: 0
        scheduler.schedule(REPORT_DELAY * rank) {
            scheduledReports -= part
            val now = scheduler.now()
            if (!quarantine.isReportDue(part, now)) return@schedule
            quarantine.recordReport(part, now)
            reporter?.report(listOf(PromptReport.Quarantined(part)))
        }
    }

    /** Reports after a random delay, unless another entry did so meanwhile. */
    private fun scheduleSoundReport(part: RequestTrait) {
        if (!scheduledSoundReports.add(part)) return
        scheduler.schedule(REPORT_DELAY * random.nextDouble()) {
            if (scheduledSoundReports.remove(part)) reporter?.report(listOf(PromptReport.Sound(part)))
        }
    }

    private fun record(kind: EventKind, request: RequestId? = null, detail: String) {
        eventSink.record(EventDraft(kind, request = request, detail = detail))
    }

    /** A crash of the engine of [start] amid an answer on a prompt with [parts] that began at [beganAt]. */
    private class ObservedCrash(
        val request: RequestId,
        val parts: List<RequestTrait>,
        val start: EngineStart,
        val beganAt: Moment,
        val lostAt: Moment,
    )

    private companion object {
        /** Shared parts of one prompt that are suspected at once. */
        const val MAXIMUM_SUSPECTS = 16

        /** Time for the other entries to see the report of the one before. */
        val REPORT_DELAY: Duration = 300.milliseconds

        /** Spread of the times at which reports of crashes at one moment arrive, many at a time after a power loss. */
        val CRASH_REPORT_DELAY: Duration = 350.milliseconds
    }
}
