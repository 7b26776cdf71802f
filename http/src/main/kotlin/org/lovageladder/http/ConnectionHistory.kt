package org.lovageladder.http

import io.netty.handler.codec.http.HttpHeaders

/**
 * What a connection has carried: which calls it may carry next, and which answers are theirs. The peer may repeat the
 * last answer of the connection before it writes the next one, with or without the identifier that it bore. Written on
 * the event loop thread of the connection, before the connection becomes idle.
 */
internal class ConnectionHistory {
    @Volatile
    private var latestIdentifiers: List<String> = emptyList()

    /** Calls that were answered. */
    @Volatile
    var answeredCalls: Int = 0
        private set

    @Volatile
    var lastAnswer: LastAnswer = LastAnswer.NONE
        private set

    /** Whether the answer of a call with [recognition] could be told from all that the peer may write again. */
    fun mayCarry(recognition: AnswerRecognition): Boolean = when (recognition) {
        AnswerRecognition.ByOrder -> true
        is AnswerRecognition.ByIdentifier -> recognition.identifier !in latestIdentifiers
        is AnswerRecognition.Unidentified -> lastAnswer.allowsUnidentified
    }

    /**
     * Whether an answer with [headers] is the one to the current call, which has [recognition]. [isNamingPeer] tells
     * whether the peer has named a call in an answer before: then it names all, and one that names none is a repeated
     * one, even as the first of its connection.
     */
    fun isAnswer(recognition: AnswerRecognition, headers: HttpHeaders, isNamingPeer: Boolean): Boolean {
        val identifier = recognition.identifierOf(headers)
        return when (recognition) {
            AnswerRecognition.ByOrder -> true
            is AnswerRecognition.ByIdentifier ->
                identifier == recognition.identifier || (identifier == null && !isNamingPeer && answeredCalls == 0)
            is AnswerRecognition.Unidentified -> identifier == null
        }
    }

    /** Records the answer to a call with [recognition]. Returns whether the connection may be kept. */
    fun recordAnswer(recognition: AnswerRecognition, status: Int, headers: HttpHeaders): Boolean {
        answeredCalls += 1
        lastAnswer = kindOf(recognition, status)
        if (recognition !is AnswerRecognition.ByIdentifier) return true
        latestIdentifiers = (latestIdentifiers + recognition.identifier).takeLast(REMEMBERED_CALLS)
        return recognition.identifierOf(headers) != null
    }

    private fun kindOf(recognition: AnswerRecognition, status: Int): LastAnswer = when (recognition) {
        AnswerRecognition.ByOrder -> LastAnswer.IN_ORDER
        is AnswerRecognition.Unidentified -> LastAnswer.UNIDENTIFIED
        is AnswerRecognition.ByIdentifier ->
            if (status in SUCCESS_STATUSES) LastAnswer.IDENTIFIED_SUCCESS else LastAnswer.IDENTIFIED_REFUSAL
    }

    private companion object {
        /** An answer that the peer writes again comes before the next one, so that a few calls are enough. */
        const val REMEMBERED_CALLS = 32
        val SUCCESS_STATUSES = 200..299
    }
}

/**
 * Kind of the last answer of a connection. An unidentified call may follow only where its answer cannot be confused
 * with a repetition of this one ([allowsUnidentified]): a repeated success of an identified call cannot be parsed as
 * the answer to an unidentified one, but all refusals look alike. [isIdentified] tells whether the answer named its
 * call.
 */
internal enum class LastAnswer(val allowsUnidentified: Boolean, val isIdentified: Boolean = false) {
    NONE(allowsUnidentified = true),
    IN_ORDER(allowsUnidentified = false),
    UNIDENTIFIED(allowsUnidentified = false),
    IDENTIFIED_SUCCESS(allowsUnidentified = true, isIdentified = true),
    IDENTIFIED_REFUSAL(allowsUnidentified = false, isIdentified = true),
}
