package org.lovageladder.core

import kotlinx.serialization.Serializable

/** Step of a request or of an internal exchange at which a fault occurred. */
@Serializable
public enum class Step {
    ACCEPT,
    CLASSIFY,
    ADMIT,
    CHOOSE,
    RESERVE,
    PREFILL,
    TRANSFER,
    DECODE,
    PLAIN_CALL,
    CLAIM,
    VOID,
    ORDER,
    CONNECT,
    RELEASE,
    STORE,
    HOST_LIST,
}

/** Why a step failed. */
@Serializable
public enum class FaultCause {
    UNREACHABLE,
    CONNECTION_LOST,
    TIMEOUT,
    REJECTED,
    OUT_OF_MEMORY,
    EXPIRED,
    CANCELLED,
    PROTOCOL,
    LEAVING,
    FENCED,
    CRASHED,
}

/** A failure with the [step] at which it occurred and the [peer] concerned (a process, upstream or address). */
@Serializable
public data class Fault(val step: Step, val peer: String, val cause: FaultCause, val detail: String = "") {
    override fun toString(): String = "$step at $peer: $cause${if (detail.isEmpty()) "" else " ($detail)"}"
}
