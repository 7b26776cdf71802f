package org.lovageladder.standin

/** A call that an engine has accepted and not finished yet. */
internal class EngineCall(
    val request: CompletionRequest,
    val writer: CompletionWriter,
    /** Pieces held until the call is finished or cancelled; 0 for a prefill whose decode runs elsewhere. */
    val pieces: Int,
) {
    /** Index of the next token to produce. */
    var nextTokenIndex: Int = request.resumeFrom

    /** Prompt tokens found in the prefix cache, which need no prefill. */
    var cachedTokens: Int = 0

    val producedTokens: Int
        get() = nextTokenIndex - request.resumeFrom

    /** Cancels the current stage: removes the call from the prefill queue or decode batch, or stops its transfer. */
    var cancelStage: () -> Unit = {}
}
