package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Judges by one decode of [request] at the engine of [start] whether the request harms engines.
 *
 * An engine that crashes early in an answer may have crashed because of the request, so that all traits of all streams
 * that are early in their answers there are suspected. Traits are sound once the engine has ended the answer, or has
 * outlived its early time: [EARLY_EVENTS] and [MINIMUM_EARLY_TIME], and [MAXIMUM_EARLY_TIME] in any case. Confined to
 * one thread.
 */
internal class PromptWatch(
    private val guard: PromptGuard,
    private val request: ForwardRequest,
    private val start: EngineStart,
    private val now: () -> Moment,
) {
    private var beganAt: Moment? = null
    private var isOutlived = false

    /** The engine has written [events] whole events so far. */
    fun onWritten(events: Int) {
        if (isOutlived || events == 0) return
        val began = beganAt ?: now().also { beganAt = it }
        if (isEarly(events, now() - began)) return
        recordOutlived(began)
    }

    /** The engine ended the answer and outlived it. An answer without an event says nothing. */
    fun onEnded() {
        if (!isOutlived) beganAt?.let(::recordOutlived)
    }

    /** Whether the prompt may still turn out to harm engines: a crash of the engine now would speak against it. */
    val isUndecided: Boolean get() = !isOutlived

    /** The engine did not outlive the loss of the connection at [lostAt]. */
    fun onCrashed(lostAt: Moment = now()) {
        if (isUndecided) guard.onCrash(request, start, beganAt ?: lostAt, lostAt)
    }

    private fun recordOutlived(began: Moment) {
        isOutlived = true
        guard.onOutlived(request, began)
    }

    private fun isEarly(events: Int, written: Duration): Boolean {
        if (written >= MAXIMUM_EARLY_TIME) return false
        return events < EARLY_EVENTS || written < MINIMUM_EARLY_TIME
    }

    private companion object {
        /** Events after which a crash says nothing about the prompt. */
        const val EARLY_EVENTS = 32

        /** Time from the first event on, for engines that write quickly. */
        val MINIMUM_EARLY_TIME: Duration = 250.milliseconds

        /** Time from the first event on, for engines that write slowly. */
        val MAXIMUM_EARLY_TIME: Duration = 2.seconds
    }
}
