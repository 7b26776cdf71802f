package org.lovageladder.core

/**
 * One step of a fuzz sequence. The numbers select among what exists when the step is taken, so that each part of a
 * sequence is a sequence too and failures can be shortened.
 */
data class FuzzStep(val kind: FuzzKind, val first: Int, val second: Int, val third: Int) {
    fun <T> pick(from: List<T>): T? = if (from.isEmpty()) null else from[first % from.size]

    companion object {
        private const val FIELD = 1000
        private val weighted = FuzzKind.entries.flatMap { kind -> List(kind.weight) { kind } }

        /** Bound of the numbers that [of] takes. */
        val codes: Long = weighted.size.toLong() * FIELD * FIELD * FIELD

        fun of(code: Long): FuzzStep {
            val fields = code / weighted.size
            return FuzzStep(
                weighted[(code % weighted.size).toInt()],
                (fields % FIELD).toInt(),
                (fields / FIELD % FIELD).toInt(),
                (fields / FIELD / FIELD % FIELD).toInt(),
            )
        }
    }
}

/** What happens in a step, with how often it is chosen. */
enum class FuzzKind(val weight: Int) {
    PASS(10),
    CONNECT(5),
    RESERVE(12),
    START_DECODE(12),
    START_PREFILL(7),
    START_PLAIN(4),
    START_CLAIMED(9),
    CANCEL(6),
    VOID_CLAIM(4),
    FOLLOW_CLAIM(2),
    HEARTBEAT(5),
    DELIVER(8),
    DELIVER_AGAIN(3),
    TOKEN(5),
    END_CALL(10),
    REPORT(16),
    END_CANCEL(8),
    ANSWER_STORE(12),
    LIST_RUNNING(5),
    END_ORPHAN(4),
    END_ORDER(2),
    DISCONNECT(2),
    FREEZE(1),
    PUBLISH(2),
    LIST_HOSTS(1),
    STOP(1),
}
