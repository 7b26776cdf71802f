package org.lovageladder.core

import kotlin.time.Duration

/** Collects the effects of an event in order, and passes answers of the key-value service to their callbacks. */
internal class EntryOutput {
    private var effects = mutableListOf<EntryEffect>()
    private val answerHandlers = HashMap<Long, (StoreAnswer, Moment) -> Unit>()
    private var lastStoreCallNumber = 0L

    fun add(effect: EntryEffect) {
        effects += effect
    }

    fun record(event: EventDraft) {
        effects += EntryEffect.Record(event)
    }

    /** Sends [request] to the key-value service; [onAnswer] is called at most once. */
    fun callStore(request: StoreRequest, timeout: Duration, onAnswer: (StoreAnswer, Moment) -> Unit) {
        val callNumber = ++lastStoreCallNumber
        answerHandlers[callNumber] = onAnswer
        effects += EntryEffect.CallStore(callNumber, request, timeout)
    }

    fun onStoreAnswer(callNumber: Long, answer: StoreAnswer, now: Moment) {
        answerHandlers.remove(callNumber)?.invoke(answer, now)
    }

    /** Returns the effects collected since the last call. */
    fun takeEffects(): List<EntryEffect> {
        val taken = effects
        effects = mutableListOf()
        return taken
    }
}
