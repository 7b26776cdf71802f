package org.lovageladder.core.forward

import org.lovageladder.core.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One start of an engine: its name, and the wall-clock time of the start in milliseconds where it is known. */
public data class EngineStart(val engine: UpstreamName, val startedAt: Long?)

/** What an entry tells the other entries about a part of prompts. */
public sealed interface PromptReport {
    /** The part that the report is about. */
    public val part: RequestTrait

    /** The engine of [start] crashed early in an answer on a prompt with [part]. */
    public data class Crash(override val part: RequestTrait, val start: EngineStart) : PromptReport

    /** Prompts with [part] are held back. */
    public data class Quarantined(override val part: RequestTrait) : PromptReport

    /** An engine outlived an answer on a prompt with [part]. */
    public data class Sound(override val part: RequestTrait) : PromptReport

    /** One prompt with the quarantined [part] is sent as trial [number], counted from 1. */
    public data class Trial(override val part: RequestTrait, val number: Int) : PromptReport
}

/** Port to the registry by which entries tell each other of prompts that crash engines. */
public interface PromptReportPort {
    /** Stores at most [MAXIMUM_REPORTS] [reports]. [answer] gets whether the registry confirmed all of them. */
    public fun report(reports: List<PromptReport>, answer: (Boolean) -> Unit)

    /**
     * Claims all of [trials] for one prompt of this process. [answer] gets whether no other process claimed any of
     * them, or may have.
     */
    public fun claimTrials(trials: List<PromptReport.Trial>, answer: (Boolean) -> Unit)

    public companion object {
        /** Most reports in one call. */
        public const val MAXIMUM_REPORTS: Int = 8
    }
}

/**
 * Sends reports through [port] in the order in which they were made, several in one call, and repeats those that the
 * registry did not confirm. [onDropped] gets a report that is given up because too many wait. Confined to one thread.
 */
internal class PromptReporter(
    private val scheduler: Scheduler,
    private val port: PromptReportPort,
    private val onDropped: (PromptReport) -> Unit,
) {
    private val waiting = LinkedHashSet<PromptReport>()
    private var isSending = false

    /** Reports [reports] as soon as the registry takes them. */
    fun report(reports: List<PromptReport>) {
        reports.forEach(::enqueue)
        if (!isSending) send()
    }

    private fun enqueue(report: PromptReport) {
        if (waiting.size >= MAXIMUM_WAITING && report !in waiting) {
            val oldest = waiting.first()
            waiting -= oldest
            onDropped(oldest)
        }
        waiting += report
    }

    private fun send() {
        val batch = waiting.take(PromptReportPort.MAXIMUM_REPORTS)
        if (batch.isEmpty()) return
        isSending = true
        port.report(batch) { isConfirmed ->
            if (isConfirmed) waiting -= batch.toSet()
            val delay = if (isConfirmed) BATCH_INTERVAL else RETRY_DELAY
            scheduler.schedule(delay) {
                isSending = false
                send()
            }
        }
    }

    private companion object {
        /** More parts than this are suspected at once only when most engines are lost. */
        const val MAXIMUM_WAITING = 256

        /** Bounds what one entry writes to the registry when many parts are suspected. */
        val BATCH_INTERVAL: Duration = 50.milliseconds
        val RETRY_DELAY: Duration = 500.milliseconds
    }
}
