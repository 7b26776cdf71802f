package org.lovageladder.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds

/** Injected faults of the key-value service, each ending by itself. */
internal class KeyValueFaults(private val thread: EventLoopThread) {
    private var downEnds = ZERO
    private var slowBy = ZERO
    private var slowEnds = ZERO
    private var answersToLose = 0
    private var oldDataRevisions = 0L
    private var oldDataEnds = ZERO

    val isDown: Boolean
        get() = thread.now() < downEnds

    /** How long each call waits before it is handled. */
    val delay: Duration
        get() = if (thread.now() < slowEnds) slowBy else ZERO

    /** How many revisions reads lie back. */
    val revisionsBack: Long
        get() = if (thread.now() < oldDataEnds) oldDataRevisions else 0

    /** Whether the answer to the write that just took effect is lost. */
    fun losesAnswer(): Boolean {
        if (answersToLose == 0) {
            return false
        }
        answersToLose--
        return true
    }

    /** Throws [RequestRefused] with status 400 when a value is out of range or `for_ms` is missing. */
    fun inject(fault: KeyValueFault) {
        check(fault)
        val now = thread.now()
        val duration = (fault.forMilliseconds ?: 0).milliseconds
        fault.downMilliseconds?.let { downEnds = now + it.milliseconds }
        fault.loseAnswers?.let { answersToLose = it }
        fault.slowMilliseconds?.let {
            slowBy = it.milliseconds
            slowEnds = now + duration
        }
        fault.oldDataRevisions?.let {
            oldDataRevisions = it
            oldDataEnds = now + duration
        }
    }

    private fun check(fault: KeyValueFault) {
        val durationWanted = fault.slowMilliseconds != null || fault.oldDataRevisions != null
        val allowed = "a number of milliseconds, with slow_ms and old_data_revisions"
        requireField(!durationWanted || fault.forMilliseconds != null, "for_ms", fault.forMilliseconds, allowed)
        checkNotNegative("down_ms", fault.downMilliseconds)
        checkNotNegative("slow_ms", fault.slowMilliseconds)
        checkNotNegative("for_ms", fault.forMilliseconds)
        checkNotNegative("lose_answers", fault.loseAnswers?.toLong())
        checkNotNegative("old_data_revisions", fault.oldDataRevisions)
    }

    private fun checkNotNegative(field: String, value: Long?) {
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
