package org.lovageladder.client

/** Exit status of the command line. The README lists the same codes. */
internal enum class ExitCode(val status: Int) {
    /** What was asked for is done. */
    DONE(0),

    /** It failed for a reason that none of the others names. */
    FAILED(1),

    /** The command line, a setting or a release note is wrong. */
    BAD_INPUT(2),

    /** Another release note was accepted first. */
    CONFLICT(3),

    /** Whether a release note was accepted is not known. */
    OUTCOME_UNKNOWN(4),

    /** The key-value service or a process did not answer. */
    UNREACHABLE(5),
}
