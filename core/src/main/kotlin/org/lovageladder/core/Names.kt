package org.lovageladder.core

import kotlinx.serialization.Serializable

/*
 * Identifiers used across the system. Each is a distinct type, so that a host name cannot be passed where a place name
 * is expected. Those that wrap one text or number serialize as that value.
 */

/** Name of a machine that runs processes of the system. */
@Serializable
@JvmInline
public value class HostName(public val text: String) {
    override fun toString(): String = text
}

/** Name of a place: a group of hosts that fail together, such as a data centre. */
@Serializable
@JvmInline
public value class PlaceName(public val text: String) {
    override fun toString(): String = text
}

/** Name of a service that callers address. */
@Serializable
@JvmInline
public value class ServiceName(public val text: String) {
    override fun toString(): String = text
}

/** Name of a pool of upstreams that share one role. */
@Serializable
@JvmInline
public value class PoolName(public val text: String) {
    override fun toString(): String = text
}

/** Name of one upstream: an engine or a worker of a plain service. */
@Serializable
@JvmInline
public value class UpstreamName(public val text: String) {
    override fun toString(): String = text
}

/** Name of a request class within its service. */
@Serializable
@JvmInline
public value class ClassName(public val text: String) {
    override fun toString(): String = text
}

/** Name of a model as used by callers and engines. */
@Serializable
@JvmInline
public value class ModelName(public val text: String) {
    override fun toString(): String = text
}

/** Name of one running process, unique in the system at any one time. */
@Serializable
@JvmInline
public value class ProcessName(public val text: String) {
    override fun toString(): String = text
}

/** Number that a process chooses at its start; a later process of the same name has a different one. */
@Serializable
@JvmInline
public value class Incarnation(public val number: Long) {
    override fun toString(): String = number.toString()
}

/** Position of a release note in the order of accepted notes; 0 means that there is no note yet. */
@Serializable
@JvmInline
public value class ReleaseVersion(public val number: Long) : Comparable<ReleaseVersion> {
    override fun compareTo(other: ReleaseVersion): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    /** The version that follows this one. */
    public fun next(): ReleaseVersion = ReleaseVersion(number + 1)

    public companion object {
        /** Version before any note is accepted. */
        public val NONE: ReleaseVersion = ReleaseVersion(0)
    }
}

/**
 * Identifier that the author of a release note gives it. It tells whether a note was accepted when the answer to its
 * publication was lost.
 */
@Serializable
@JvmInline
public value class NoteId(public val text: String) {
    override fun toString(): String = text
}

/** Identifier of one submission by one caller, unique over all entries and their restarts. */
@Serializable
@JvmInline
public value class RequestId(public val text: String) {
    override fun toString(): String = text
}

/** Key that a caller gives to one action, so that a repeated submission is recognised. */
@Serializable
@JvmInline
public value class IdempotencyKey(public val text: String) {
    override fun toString(): String = text
}

/**
 * One attempt at one step of a request: a prefill, a decode or a plain call. The number is unique within the request. A
 * decode attempt's identifier also names its reservation.
 */
@Serializable
public data class AttemptId(val request: RequestId, val number: Int) {
    override fun toString(): String = "$request.$number"
}

/** Identifier that a process gives to one connection; the process never reuses it. */
@JvmInline
public value class ConnectionId(public val number: Long)

/** Identifier of one exchange with a caller at an entry; the process never reuses it. */
@JvmInline
public value class ExchangeId(public val number: Long)

/** An IP address and port. */
@Serializable
public data class Address(val ip: String, val port: Int) {
    override fun toString(): String = "$ip:$port"
}
