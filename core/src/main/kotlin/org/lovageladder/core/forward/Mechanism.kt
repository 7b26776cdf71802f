package org.lovageladder.core.forward

/**
 * Mechanisms of the forwarder that an experiment can switch off, named by [label] in the settings. None of them is
 * needed to keep a guarantee given to callers or upstreams; those guarantees cannot be switched off.
 */
public enum class Mechanism(public val label: String) {
    /** Sends an idempotent request to a second upstream when the first is slow. */
    HEDGING("hedging"),

    /** Leaves out upstreams for some time after they fail or decline requests. */
    EJECTION("ejection"),

    /** Chooses upstreams by the load that they report. */
    LOAD_REPORTS("load-reports"),

    /** Prefers upstreams in the data centre of this process. */
    NEARNESS("nearness"),

    /** Refuses streams on arrival when the expected wait for decode memory is too long. */
    WAIT_ESTIMATE("wait-estimate"),

    /** Reserves memory by a forecast learned from the outputs of each route. */
    OUTPUT_FORECAST("output-forecast"),

    /** Tells callers that are refused early to return while their target can still be met. */
    EARLY_RETURN("early-return"),

    /** Refuses callers that can no longer be served in time while memory is short. */
    LATE_REFUSAL("late-refusal"),

    /** Prefills prompts on dedicated engines. */
    SEPARATE_PREFILL("separate-prefill"),

    /** Changes the roles of engines. */
    ROLE_CHANGES("role-changes"),

    /** Resumes a broken stream on another upstream. */
    RESUMPTION("resumption"),

    /** Leaves an upstream whose stream is silent. */
    SILENCE_WATCH("silence-watch"),
}
