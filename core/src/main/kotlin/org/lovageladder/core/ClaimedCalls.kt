package org.lovageladder.core

/** The claimed calls of all plain upstreams of a companion: their start gate and the answers yet to be stored. */
internal class ClaimedCalls(context: CompanionContext) {
    val registry = ClaimRegistry(context)
    val answerWriter = ClaimAnswerWriter(context)

    fun advance() {
        answerWriter.advance()
        registry.removeExpired { answerWriter.isPending(it) }
    }
}
