package org.lovageladder.http.forward

/** What a call to an upstream is for. */
public enum class CallPurpose {
    /** A caller's request to a plain service. */
    PLAIN,

    /** A stream of a decode engine. */
    DECODE,

    PREFILL,

    /** A reservation of decode memory. */
    RESERVE,

    /** A release of a reservation that no stream used. */
    RELEASE,

    /** The end of a prefill result that no stream fetched. */
    FREE,

    /** The question whether an upstream still runs. */
    CHECK,
}
