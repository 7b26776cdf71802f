package org.lovageladder.http.forward

import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.AnswerHead
import org.lovageladder.core.forward.EngineAnswer
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.HeaderField
import org.lovageladder.core.forward.PrefillResult
import org.lovageladder.core.forward.Reservation
import org.lovageladder.core.forward.Sending
import org.lovageladder.core.forward.UpstreamNotice
import kotlin.time.Duration

/** A call whose body is short text. Its answer is text too, of [answerBytes] at most. */
public data class TextCall(
    val method: String,
    val path: String,
    val body: String = "",
    val answerBytes: Int = SHORT_ANSWER_BYTES,
)

private const val SHORT_ANSWER_BYTES = 64 * 1024

/** A whole answer whose body is short text. */
public data class TextAnswer(val status: Int, val fields: List<HeaderField>, val body: String)

/** How calls to upstreams are written and their answers read. Names on the wire are known only to implementations. */
public interface UpstreamWire {
    /** Headers of [request] as sent to an upstream. */
    public fun runFields(request: ForwardRequest, sending: Sending): List<HeaderField>

    /** Headers of [request] when its prompt alone is to be read. */
    public fun prefillFields(request: ForwardRequest, sending: Sending): List<HeaderField>

    /** Whether an answer with the headers that [value] gives by name is the one to [request]. */
    public fun isAnswerTo(request: ForwardRequest, value: (String) -> String?): Boolean

    /** Reads the head of an answer to what was sent to [upstream]. */
    public fun head(status: Int, fields: List<HeaderField>, upstream: UpstreamName): AnswerHead

    /** What an answer says of the requests that its upstream wants; null when it says nothing. */
    public fun notice(status: Int, fields: List<HeaderField>): UpstreamNotice?

    /** The call that reserves memory. */
    public fun reserveCall(tokens: Int, keep: Duration): TextCall

    /** Reads the answer to [reserveCall]. */
    public fun reservation(answer: TextAnswer): EngineAnswer<Reservation>

    /** The call that gives up [reservation]. */
    public fun releaseCall(reservation: Reservation): TextCall

    /** Reads the answer to the prefill that was sent as [sending]. */
    public fun prefillResult(sending: Sending, answer: TextAnswer): EngineAnswer<PrefillResult>

    /** The call that frees [result]. */
    public fun freeCall(result: PrefillResult): TextCall
}

/** A caller's request as it was received; [head] holds its headers but those of its connection. */
public class ReceivedRequest(
    public val method: String,
    public val target: String,
    public val host: String,
    public val head: List<HeaderField>,
    public val body: ByteArray,
)

/** How callers' requests are read. */
public fun interface CallerWire {
    /** Reads [received]; null when it is not a request that can be forwarded. */
    public fun read(received: ReceivedRequest): ForwardRequest?
}
