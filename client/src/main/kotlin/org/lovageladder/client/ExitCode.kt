package org.lovageladder.client

/** Exit status of the command line. The README lists the same codes. */
internal enum class ExitCode(val status: Int) {
    /** The command succeeded. */
    DONE(0),

    /** The command failed for a reason that no other code covers. */
    FAILED(1),

    /** The command line, a setting or a release note is wrong. */
    BAD_INPUT(2),

    /** Another release note was accepted first. */
    CONFLICT(3),

    /** It is unknown whether a release note was accepted. */
    OUTCOME_UNKNOWN(4),

    /** The key-value service or a process did not answer. */
    UNREACHABLE(5),
}
