package org.lovageladder.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/*
 * What operators configure: hosts, pools, upstreams, services and request classes. Durations serialize in ISO 8601
 * form ("PT1.2S").
 */

/** Role of the upstreams of a pool. */
@Serializable
public enum class PoolRole {
    @SerialName("prefill")
    PREFILL,

    @SerialName("decode")
    DECODE,

    @SerialName("plain")
    PLAIN,
}

/** Daemon that a host runs. */
@Serializable
public enum class HostRole {
    @SerialName("entry")
    ENTRY,

    @SerialName("companion")
    COMPANION,
}

/** Latency target of a request class. */
@Serializable
public sealed interface LatencyTarget {
    /** Targets of a token stream: time to the first token, and between one token and the next. */
    @Serializable
    @SerialName("stream")
    public data class Stream(val firstToken: Duration, val tokenGap: Duration) : LatencyTarget

    /** Target of a whole answer. */
    @Serializable
    @SerialName("answer")
    public data class Answer(val within: Duration) : LatencyTarget
}

/** A named entry that a release note adds, changes or withdraws. */
@Serializable
public sealed interface ReleaseEntry {
    /** Name, unique among entries of the same kind. */
    public val key: EntryKey

    /**
     * A host and the daemon on it. [peerAddress] is where a companion accepts connections of entries; null for an entry
     * host. [adminAddress] serves health, metrics and the time line.
     */
    @Serializable
    @SerialName("host")
    public data class Host(
        val name: HostName,
        val place: PlaceName,
        val role: HostRole,
        val peerAddress: Address? = null,
        val adminAddress: Address,
    ) : ReleaseEntry {
        override val key: EntryKey get() = EntryKey(EntryKind.HOST, name.text)
    }

    /** A pool of upstreams with one role. */
    @Serializable
    @SerialName("pool")
    public data class Pool(val name: PoolName, val role: PoolRole) : ReleaseEntry {
        override val key: EntryKey get() = EntryKey(EntryKind.POOL, name.text)
    }

    /**
     * An upstream in [pool], reached only through the companion on [host]. [pieces] is its memory in pieces of
     * [PIECE_TOKENS] tokens (0 for a plain or prefill upstream), [runningLimit] the calls it runs at once,
     * [linkBytesPerSecond] the rate of the link its host shares for transfers (0: not limited).
     * [checksFencing] says whether it refuses orders with an old fencing number by itself.
     */
    @Serializable
    @SerialName("upstream")
    public data class Upstream(
        val name: UpstreamName,
        val pool: PoolName,
        val host: HostName,
        val address: Address,
        val pieces: Int = 0,
        val runningLimit: Int = 20,
        val linkBytesPerSecond: Long = 0,
        val checksFencing: Boolean = false,
        val adapters: List<ModelName> = emptyList(),
    ) : ReleaseEntry {
        override val key: EntryKey get() = EntryKey(EntryKind.UPSTREAM, name.text)
    }

    /**
     * A service that callers address. A generation service names [prefillPool], [decodePool] and [model]; a plain
     * service names [plainPool]. [defaultClass] applies to requests that name none.
     */
    @Serializable
    @SerialName("service")
    public data class Service(
        val name: ServiceName,
        val defaultClass: ClassName,
        val prefillPool: PoolName? = null,
        val decodePool: PoolName? = null,
        val plainPool: PoolName? = null,
        val model: ModelName? = null,
        val kvBytesPerToken: Long = 0,
    ) : ReleaseEntry {
        override val key: EntryKey get() = EntryKey(EntryKind.SERVICE, name.text)
    }

    /**
     * A class of requests of one service. [worth] weighs goodput. [priority] follows the engines' convention: lower
     * numbers go first. [outputBound] caps the tokens of one answer. [share] is the part of a pool, 0 to 1, that
     * the class keeps for itself under load; other classes may borrow what it leaves unused.
     */
    @Serializable
    @SerialName("class")
    public data class RequestClass(
        val name: ClassName,
        val service: ServiceName,
        val target: LatencyTarget,
        val worth: Double = 1.0,
        val idempotent: Boolean = true,
        val priority: Int = 0,
        val outputBound: Int = 1024,
        val share: Double = 0.0,
    ) : ReleaseEntry {
        override val key: EntryKey get() = EntryKey(EntryKind.CLASS, "$service/$name")
    }
}

/** Kind of a [ReleaseEntry]. */
@Serializable
public enum class EntryKind {
    @SerialName("host")
    HOST,

    @SerialName("pool")
    POOL,

    @SerialName("upstream")
    UPSTREAM,

    @SerialName("service")
    SERVICE,

    @SerialName("class")
    CLASS,
}

/** Names one release entry. The name of a class is `service/class`. */
@Serializable
public data class EntryKey(val kind: EntryKind, val name: String)

/**
 * Changes that an operator publishes: entries to add, to change (replaced whole) and to withdraw. [base] is the version
 * that the author started from; publication fails when another note was accepted since.
 */
@Serializable
public data class ReleaseNote(
    val id: NoteId,
    val base: ReleaseVersion = ReleaseVersion.NONE,
    val author: String = "",
    val added: List<ReleaseEntry> = emptyList(),
    val changed: List<ReleaseEntry> = emptyList(),
    val withdrawn: List<EntryKey> = emptyList(),
)

/** A note with its place in the order of accepted notes. */
@Serializable
public data class AcceptedNote(val version: ReleaseVersion, val note: ReleaseNote)

/** Tokens in one piece of engine memory. */
public const val PIECE_TOKENS: Int = 4096
