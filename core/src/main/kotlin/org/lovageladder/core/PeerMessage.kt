package org.lovageladder.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/*
 * Messages between an entry and a companion. A connection begins with [PeerMessage.Hello] from the entry and
 * [PeerMessage.Welcome] from the companion, which bind it to the incarnations of both. Durations are relative, since
 * the clocks of two hosts are not comparable.
 */

/**
 * A message with the sender's release version and hybrid time stamp. Names are short on the wire, since most messages
 * are small.
 */
@Serializable
public data class Envelope(
    @SerialName("r") val release: ReleaseVersion,
    @SerialName("c") val clock: HybridTime,
    @SerialName("m") val message: PeerMessage,
)

/** Load of one upstream as its companion accounts for it. */
@Serializable
public data class UpstreamLoad(
    val upstream: UpstreamName,
    val piecesTotal: Int,
    val piecesFree: Int,
    val running: Int,
    val waiting: Int,
    val queuedPrefillTokens: Long = 0,
)

/** Parameters with which a decode engine fetches a prefill's result, valid for [keepFor] after their arrival. */
@Serializable
public data class TransferTicket(val parametersJson: String, val bytes: Long, val keepFor: Duration)

/** The claim under which a non-idempotent call may start once. [number] increases with each takeover of the key. */
@Serializable
public data class ClaimTicket(val storeKey: String, val number: Long, val revision: Long, val record: ClaimRecord)

/**
 * Value of a claim in the key-value service. A [released] claim was released before any call started under it or under
 * an earlier number.
 */
@Serializable
public data class ClaimRecord(
    val bodyDigest: String,
    val number: Long,
    val host: HostName,
    val incarnation: Incarnation,
    val request: RequestId,
    val answer: PlainAnswer? = null,
    val released: Boolean = false,
)

/** State of one claim at a companion. */
@Serializable
public enum class ClaimState {
    /** The call never starts under this number. */
    VOIDED,

    /** The call was sent to the upstream and no answer has arrived. */
    STARTED,

    /** The upstream's answer is known. */
    ANSWERED,

    /** The call was sent to the upstream, and its answer was lost. */
    LOST,
}

/** One message between an entry and a companion. */
@Serializable
public sealed interface PeerMessage {
    /**
     * First message of an entry. A companion closes the connection when it is not [expectedHost] or has another
     * incarnation.
     */
    @Serializable
    @SerialName("hello")
    public data class Hello(
        val protocol: Int,
        val process: ProcessName,
        val incarnation: Incarnation,
        val expectedHost: HostName,
        val expectedIncarnation: Incarnation? = null,
    ) : PeerMessage

    /** First message of a companion. */
    @Serializable
    @SerialName("welcome")
    public data class Welcome(
        val protocol: Int,
        val host: HostName,
        val incarnation: Incarnation,
        val leaving: Boolean,
        val loads: List<UpstreamLoad>,
    ) : PeerMessage

    /**
     * Asks for [pieces] of a decode upstream's memory; answered by [Granted] or [Refused] within [waitAtMost].
     * A granted reservation lapses when it is not used within [holdAtMost].
     */
    @Serializable
    @SerialName("rsv")
    public data class Reserve(
        val attempt: AttemptId,
        val upstream: UpstreamName,
        val pieces: Int,
        val worth: Double,
        val priority: Int,
        val waitAtMost: Duration,
        val holdAtMost: Duration,
    ) : PeerMessage

    /** The reservation is granted and lapses unless it is used within [holdFor]. */
    @Serializable
    @SerialName("grt")
    public data class Granted(val attempt: AttemptId, val holdFor: Duration, val load: UpstreamLoad) : PeerMessage

    /** The attempt was not started and never will be. */
    @Serializable
    @SerialName("ref")
    public data class Refused(
        val attempt: AttemptId,
        val fault: Fault,
        val retryAfter: Duration,
        val load: UpstreamLoad?,
    ) : PeerMessage

    /** Runs a prefill; answered by [PrefillReady], [Refused] or [AttemptFailed]. */
    @Serializable
    @SerialName("spf")
    public data class StartPrefill(
        val attempt: AttemptId,
        val upstream: UpstreamName,
        val content: RequestContent.Generation,
        val outputBound: Int,
        val priority: Int,
        val worth: Double,
        val finishWithin: Duration,
    ) : PeerMessage

    /** A prefill's result is ready to be fetched. */
    @Serializable
    @SerialName("pfr")
    public data class PrefillReady(val attempt: AttemptId, val ticket: TransferTicket, val load: UpstreamLoad) :
        PeerMessage

    /** Uses the reservation named by [attempt]. Tokens with an index below [fromIndex] are not sent. */
    @Serializable
    @SerialName("sdc")
    public data class StartDecode(
        val attempt: AttemptId,
        val content: RequestContent.Generation,
        val outputBound: Int,
        val priority: Int,
        val ticket: TransferTicket?,
        val fromIndex: Int = 0,
    ) : PeerMessage

    /** One token of a decode attempt; the first has index 0. */
    @Serializable
    @SerialName("tok")
    public data class TokenProduced(val attempt: AttemptId, val index: Int, val text: String) : PeerMessage

    /** The attempt produced all its [tokens], and its memory is free. */
    @Serializable
    @SerialName("fin")
    public data class DecodeFinished(
        val attempt: AttemptId,
        val tokens: Int,
        val finishReason: String,
        val load: UpstreamLoad,
    ) : PeerMessage

    /** Calls a plain service; under a [claim] when the class is not idempotent. */
    @Serializable
    @SerialName("spl")
    public data class StartPlain(
        val attempt: AttemptId,
        val upstream: UpstreamName,
        val content: RequestContent.Plain,
        val claim: ClaimTicket?,
        val idempotencyKey: IdempotencyKey?,
        val priority: Int,
        val worth: Double,
        val startWithin: Duration,
    ) : PeerMessage

    /** A plain service's answer. */
    @Serializable
    @SerialName("pfn")
    public data class PlainFinished(val attempt: AttemptId, val answer: PlainAnswer, val load: UpstreamLoad) :
        PeerMessage

    /**
     * The attempt was started and failed; [execution] says whether it ran. [load] still counts its memory when the
     * engine may not have ended the call.
     */
    @Serializable
    @SerialName("afl")
    public data class AttemptFailed(
        val attempt: AttemptId,
        val fault: Fault,
        val execution: Execution,
        val load: UpstreamLoad?,
    ) : PeerMessage

    /**
     * Cancels [attempt] and frees what it holds: its reservation, its place in a queue or its running call. A running
     * claimed call continues, and only its answer is no longer sent.
     */
    @Serializable
    @SerialName("cnl")
    public data class Cancel(val attempt: AttemptId) : PeerMessage

    /** Forbids the start of a claim under [number]; answered by [ClaimStatus]. */
    @Serializable
    @SerialName("vcl")
    public data class VoidClaim(val storeKey: String, val number: Long) : PeerMessage

    /** Subscribes to the end of a claim that another submission started; answered by [ClaimStatus]. */
    @Serializable
    @SerialName("fcl")
    public data class FollowClaim(val storeKey: String, val number: Long) : PeerMessage

    /** State of a claim; sent again when a followed claim ends. */
    @Serializable
    @SerialName("cst")
    public data class ClaimStatus(
        val storeKey: String,
        val number: Long,
        val state: ClaimState,
        val answer: PlainAnswer? = null,
    ) : PeerMessage

    /** Shows that the entry is alive; a companion answers with [Loads]. */
    @Serializable
    @SerialName("hbt")
    public data class Heartbeat(val sequence: Long) : PeerMessage

    /** Answer to [Heartbeat], with the loads that changed since the last one. */
    @Serializable
    @SerialName("lds")
    public data class Loads(val sequence: Long, val loads: List<UpstreamLoad>) : PeerMessage

    /** Asks for all notes after [after]. */
    @Serializable
    @SerialName("fnt")
    public data class FetchNotes(val after: ReleaseVersion) : PeerMessage

    /** Accepted notes in order of version. */
    @Serializable
    @SerialName("nts")
    public data class Notes(val notes: List<AcceptedNote>) : PeerMessage

    /** The companion's host is leaving: it accepts no new work and finishes the work in progress. */
    @Serializable
    @SerialName("lvg")
    public data class Leaving(val host: HostName) : PeerMessage
}

/** Version of the protocol between entries and companions. */
public const val PEER_PROTOCOL: Int = 1
