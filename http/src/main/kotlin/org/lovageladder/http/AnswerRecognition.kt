package org.lovageladder.http

import io.netty.handler.codec.http.HttpHeaders
import org.lovageladder.core.forward.CallPlace

/**
 * How the answer of a call is told from answers of other calls. A peer can write an answer once more on a connection
 * that is kept, at the point where the next answer is due.
 */
internal sealed interface AnswerRecognition {
    /** Returns the identifier of the call that an answer with these headers names; null when it names none. */
    fun identifierOf(headers: HttpHeaders): String?

    /** The peer answers each call once and in order: the next answer belongs to the call. */
    data object ByOrder : AnswerRecognition {
        override fun identifierOf(headers: HttpHeaders): String? = null
    }

    /** The answer names the call by its [identifier], as [readIdentifier] reads it. */
    class ByIdentifier(val identifier: String, private val readIdentifier: (HttpHeaders) -> String?) :
        AnswerRecognition {
        override fun identifierOf(headers: HttpHeaders): String? = readIdentifier(headers)
    }

    /** The answer names no call; [readIdentifier] reads the identifiers in answers of calls that have one. */
    class Unidentified(private val readIdentifier: (HttpHeaders) -> String?) : AnswerRecognition {
        override fun identifierOf(headers: HttpHeaders): String? = readIdentifier(headers)
    }
}

/**
 * An answer that was skipped since it belongs to another call than the one at [place], which was due. [identifier] is
 * the one that it names, and [earlierCalls] is how many calls of its connection were answered before.
 */
internal data class SkippedAnswer(
    val place: CallPlace,
    val status: Int,
    val identifier: String?,
    val earlierCalls: Int,
)
