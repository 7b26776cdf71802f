package org.lovageladder.http.forward

import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.AnswerHead
import org.lovageladder.core.forward.AnswerOrigin
import org.lovageladder.core.forward.ArrivalReader
import org.lovageladder.core.forward.EngineAnswer
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.HeaderField
import org.lovageladder.core.forward.PrefillResult
import org.lovageladder.core.forward.Reservation
import org.lovageladder.core.forward.UpstreamAttempt
import org.lovageladder.core.forward.UpstreamIncarnation
import org.lovageladder.core.forward.UpstreamNotice
import kotlin.time.Duration

/** A call with a short text body. It fails when the body of its answer is longer than [maximumAnswerBytes]. */
public data class TextCall(
    val method: String,
    val path: String,
    val body: String = "",
    val maximumAnswerBytes: Int = DEFAULT_MAXIMUM_ANSWER_BYTES,
)

private const val DEFAULT_MAXIMUM_ANSWER_BYTES = 64 * 1024

/** A complete answer with a short text body. */
public data class TextAnswer(val status: Int, val fields: List<HeaderField>, val body: String)

/**
 * Encodes calls to upstreams and decodes their answers. Only implementations know the names of headers and JSON keys.
 */
public interface UpstreamCodec {
    /** Headers for sending [request] to the upstream of [attempt]. */
    public fun requestHeaders(request: ForwardRequest, attempt: UpstreamAttempt): List<HeaderField>

    /** Headers for sending [request] to an engine that is to run its prefill only. */
    public fun prefillHeaders(request: ForwardRequest, attempt: UpstreamAttempt): List<HeaderField>

    /**
     * Returns the identifier of the request that an answer names; null when it names none, as answers to calls without
     * a request do. [header] returns the value of an answer's header by its name.
     */
    public fun answeredRequest(header: (String) -> String?): String?

    /** Whether an answer with the headers [fields] bears the signature of an upstream. */
    public fun isSigned(fields: List<HeaderField>): Boolean

    /**
     * Parses the head of an answer to a request that was sent to [upstream]. The body [endsWithConnection] when it has
     * neither a length nor chunks. [origin] tells which call it came to.
     */
    public fun parseHead(
        status: Int,
        fields: List<HeaderField>,
        upstream: UpstreamName,
        endsWithConnection: Boolean = false,
        origin: AnswerOrigin? = null,
    ): AnswerHead

    /** Parses the notice in an answer's headers; null when there is none. The notice never says that a limit ended. */
    public fun parseNotice(status: Int, fields: List<HeaderField>): UpstreamNotice?

    /** Builds the call that reserves memory for [tokens] for [duration]. */
    public fun reserveCall(tokens: Int, duration: Duration): TextCall

    /** Parses the answer to [reserveCall]. */
    public fun parseReservation(answer: TextAnswer): EngineAnswer<Reservation>

    /** Builds the call that releases [reservation]. */
    public fun releaseCall(reservation: Reservation): TextCall

    /** Parses the answer to the prefill that was sent as [attempt]. */
    public fun parsePrefillResult(attempt: UpstreamAttempt, answer: TextAnswer): EngineAnswer<PrefillResult>

    /** Builds the call by which an upstream shows that it runs: to [healthPath], or to an engine when that is null. */
    public fun runningCall(healthPath: String?): TextCall

    /** Headers for sending [runningCall] to [upstream]. */
    public fun runningHeaders(upstream: UpstreamIncarnation): List<HeaderField>

    /** Whether [answer] to [runningCall] shows that [upstream], and not another one at its address, still runs. */
    public fun isRunning(upstream: UpstreamIncarnation, answer: TextAnswer): Boolean

    /** Builds the call that frees the memory of [result]. */
    public fun freeCall(result: PrefillResult): TextCall
}

/** A caller's request as received on [connection]. [fields] are its headers without the hop-by-hop headers. */
public class UnparsedRequest(
    public val method: String,
    public val target: String,
    public val host: String,
    public val fields: List<HeaderField>,
    public val body: ByteArray,
    public val connection: ArrivalReader,
)

/** Parses callers' requests. */
public fun interface CallerRequestParser {
    /** Parses [received]; null when the request is invalid. */
    public fun parse(received: UnparsedRequest): ForwardRequest?
}
