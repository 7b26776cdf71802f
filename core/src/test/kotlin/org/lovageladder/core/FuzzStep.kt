package org.lovageladder.core

/**
 * One step of a fuzz sequence. The numbers select among what exists when the step is performed, so that any subsequence
 * is valid and failures can be shrunk.
 */
data class FuzzStep(val kind: FuzzKind, val first: Int, val second: Int, val third: Int) {
    fun <T> pick(from: List<T>): T? = if (from.isEmpty()) null else from[first % from.size]

    companion object {
        private const val VALUES_PER_FIELD = 1000
        private val kindsByWeight = FuzzKind.entries.flatMap { kind -> List(kind.weight) { kind } }

        /** Number of codes that [of] accepts: 0 to below this number. */
        val codeCount: Long = kindsByWeight.size.toLong() * VALUES_PER_FIELD * VALUES_PER_FIELD * VALUES_PER_FIELD

        fun of(code: Long): FuzzStep {
            val fields = code / kindsByWeight.size
            return FuzzStep(
                kindsByWeight[(code % kindsByWeight.size).toInt()],
                (fields % VALUES_PER_FIELD).toInt(),
                (fields / VALUES_PER_FIELD % VALUES_PER_FIELD).toInt(),
                (fields / VALUES_PER_FIELD / VALUES_PER_FIELD % VALUES_PER_FIELD).toInt(),
            )
        }
    }
}

/** Kind of a step, with the weight with which it is chosen. */
enum class FuzzKind(val weight: Int) {
    ADVANCE_TIME(10),
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
    DELIVER_DELAYED(8),
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
    SUSPEND(1),
    PUBLISH(2),
    LIST_HOSTS(1),
    STOP(1),
}
