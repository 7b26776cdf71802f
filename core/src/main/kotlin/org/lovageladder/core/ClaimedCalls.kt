package org.lovageladder.core

/**
 * State of the claimed calls of all plain upstreams of a companion: their claims and the answers still to be stored.
 */
internal class ClaimedCalls(context: CompanionContext) {
    val registry = ClaimRegistry(context)
    val answerWriter = ClaimAnswerWriter(context)

    fun advance() {
        answerWriter.advance()
        registry.removeExpired { answerWriter.isPending(it) }
    }
}
