package org.lovageladder.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds

/** Faults injected into the key-value service; each ends after its duration or count. */
internal class KeyValueFaults(private val thread: EventLoopThread) {
    private var downUntil = ZERO
    private var slowDelay = ZERO
    private var slowUntil = ZERO
    private var answersToLose = 0
    private var oldDataRevisions = 0L
    private var oldDataUntil = ZERO

    val isDown: Boolean
        get() = thread.now() < downUntil

    /** Injected delay before each call is handled. */
    val callDelay: Duration
        get() = if (thread.now() < slowUntil) slowDelay else ZERO

    /** Number of revisions by which reads are stale. */
    val staleRevisions: Long
        get() = if (thread.now() < oldDataUntil) oldDataRevisions else 0

    /** Whether to drop the answer to the write that just took effect; counts down the injected losses. */
    fun consumeAnswerLoss(): Boolean {
        if (answersToLose == 0) {
            return false
        }
        answersToLose--
        return true
    }

    /** Throws [RequestRefused] with status 400 when a value is out of range or `for_ms` is missing. */
    fun inject(fault: KeyValueFault) {
        validate(fault)
        val now = thread.now()
        val duration = (fault.forMilliseconds ?: 0).milliseconds
        fault.downMilliseconds?.let { downUntil = now + it.milliseconds }
        fault.loseAnswers?.let { answersToLose = it }
        fault.slowMilliseconds?.let {
            slowDelay = it.milliseconds
            slowUntil = now + duration
        }
        fault.oldDataRevisions?.let {
            oldDataRevisions = it
            oldDataUntil = now + duration
        }
    }

    private fun validate(fault: KeyValueFault) {
        val needsDuration = fault.slowMilliseconds != null || fault.oldDataRevisions != null
        val allowed = "a number of milliseconds, with slow_ms and old_data_revisions"
        requireField(!needsDuration || fault.forMilliseconds != null, "for_ms", fault.forMilliseconds, allowed)
        requireNotNegative("down_ms", fault.downMilliseconds)
        requireNotNegative("slow_ms", fault.slowMilliseconds)
        requireNotNegative("for_ms", fault.forMilliseconds)
        requireNotNegative("lose_answers", fault.loseAnswers?.toLong())
        requireNotNegative("old_data_revisions", fault.oldDataRevisions)
    }

    private fun requireNotNegative(field: String, value: Long?) {
        requireField(value == null || value >= 0, field, value, "0 or more")
    }
}

/** Faults to inject into the key-value service; `slow_ms` and `old_data_revisions` last for `for_ms`. */
@Serializable
internal data class KeyValueFault(
    @SerialName("down_ms") val downMilliseconds: Long? = null,
    @SerialName("slow_ms") val slowMilliseconds: Long? = null,
    @SerialName("for_ms") val forMilliseconds: Long? = null,
    @SerialName("lose_answers") val loseAnswers: Int? = null,
    @SerialName("old_data_revisions") val oldDataRevisions: Long? = null,
)
