package org.lovageladder.core

import kotlin.time.Duration

/** Collects the effects of an event in order, and passes answers of the key-value service to their callbacks. */
internal class EntryOutput {
    private var effects = mutableListOf<EntryEffect>()
    private val answerHandlers = HashMap<Long, (StoreAnswer, Moment) -> Unit>()
    private var lastTicket = 0L

    fun add(effect: EntryEffect) {
        effects += effect
    }

    fun record(event: EventDraft) {
        effects += EntryEffect.Record(event)
    }

    /** Sends [request] to the key-value service; [onAnswer] is called at most once. */
    fun askStore(request: StoreRequest, timeout: Duration, onAnswer: (StoreAnswer, Moment) -> Unit) {
        val ticket = ++lastTicket
        answerHandlers[ticket] = onAnswer
        effects += EntryEffect.AskStore(ticket, request, timeout)
    }

    fun onStoreAnswer(ticket: Long, answer: StoreAnswer, now: Moment) {
        answerHandlers.remove(ticket)?.invoke(answer, now)
    }

    /** Returns the effects collected since the last call. */
    fun takeEffects(): List<EntryEffect> {
        val taken = effects
        effects = mutableListOf()
        return taken
    }
}
