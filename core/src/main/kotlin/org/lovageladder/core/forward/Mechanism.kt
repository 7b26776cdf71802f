package org.lovageladder.core.forward

/**
 * Mechanisms of the forwarding decisions that an experiment can do without, by the [label] that settings give. None of
 * them keeps a promise to callers or upstreams; those cannot be switched off.
 */
public enum class Mechanism(public val label: String) {
    /** A second upstream for an idempotent request whose first is slow. */
    HEDGING("hedging"),

    /** Leaving upstreams out for a time that fail or decline. */
    EJECTION("ejection"),

    /** Choosing upstreams by the load they tell. */
    LOAD_REPORTS("load-reports"),

    /** Preferring upstreams of the own place. */
    NEARNESS("nearness"),

    /** Refusing streams on arrival by the expected wait for memory. */
    WAIT_ESTIMATE("wait-estimate"),

    /** Reserving memory by what is learned of a route's outputs. */
    OUTPUT_FORECAST("output-forecast"),

    /** Bidding callers who are refused early come back within their target. */
    EARLY_RETURN("early-return"),

    /** Refusing callers who are late already while memory is short. */
    LATE_REFUSAL("late-refusal"),

    /** Having prompts read by engines of their own. */
    SEPARATE_PREFILL("separate-prefill"),

    /** Changing the roles of engines. */
    ROLE_CHANGES("role-changes"),

    /** Going on elsewhere with a stream that broke. */
    RESUMPTION("resumption"),

    /** Leaving an upstream whose stream is silent. */
    SILENCE_WATCH("silence-watch"),
}
