package org.lovageladder.standin

/** One call that an engine has accepted and not finished yet. */
internal class EngineCall(
    val request: CompletionRequest,
    val answer: CompletionAnswer,
    /** Memory held until the call is finished or cancelled; 0 for a prefill whose decode runs elsewhere. */
    val pieces: Int,
) {
    /** Index of the next token to produce. */
    var nextToken: Int = request.resumeFrom

    /** Prompt tokens that the prefix cache spared the prefill. */
    var cachedTokens: Int = 0

    val produced: Int
        get() = nextToken - request.resumeFrom

    /** Takes the call out of the prefill queue, the transfer or the batch that it is in now. */
    var withdraw: () -> Unit = {}
}
