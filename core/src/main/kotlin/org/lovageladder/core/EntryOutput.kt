package org.lovageladder.core

import kotlin.time.Duration

/** Collects the effects of one event, in order, and matches answers of the key-value service to their askers. */
internal class EntryOutput {
    private var effects = mutableListOf<EntryEffect>()
    private val storeAnswers = HashMap<Long, (StoreAnswer, Moment) -> Unit>()
    private var lastTicket = 0L

    fun add(effect: EntryEffect) {
        effects += effect
    }

    fun record(event: EventDraft) {
        effects += EntryEffect.Record(event)
    }

    /** Calls the key-value service; [answered] is run once. */
    fun askStore(request: StoreRequest, timeout: Duration, answered: (StoreAnswer, Moment) -> Unit) {
        val ticket = ++lastTicket
        storeAnswers[ticket] = answered
        effects += EntryEffect.AskStore(ticket, request, timeout)
    }

    fun storeAnswered(ticket: Long, answer: StoreAnswer, now: Moment) {
        storeAnswers.remove(ticket)?.invoke(answer, now)
    }

    /** Returns the effects collected since the last call. */
    fun take(): List<EntryEffect> {
        val taken = effects
        effects = mutableListOf()
        return taken
    }
}
