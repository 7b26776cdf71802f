package org.lovageladder.core

/** The claimed calls of all plain upstreams of a companion: their start gate and the answers yet to be stored. */
internal class ClaimedCalls(context: CompanionContext) {
    val gate = StartGate(context)
    val answers = ClaimAnswers(context)

    fun advance() {
        answers.advance()
        gate.forgetOld { answers.isPending(it) }
    }
}
