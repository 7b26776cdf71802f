package org.lovageladder.core

/** Effects that a companion's decisions give out while they handle one event at time [now], in order. */
internal class CompanionOutput {
    var now: Moment = Moment(0)
    private var effects = ArrayList<CompanionEffect>()
    private var lastTicket = 0L

    fun add(effect: CompanionEffect) {
        effects.add(effect)
    }

    /** Sends [message] when there is a connection to send it on. */
    fun send(connection: ConnectionId?, message: PeerMessage) {
        if (connection != null) add(CompanionEffect.Send(connection, message))
    }

    fun record(
        kind: EventKind,
        attempt: AttemptId? = null,
        upstream: UpstreamName? = null,
        host: HostName? = null,
        note: ReleaseVersion? = null,
        detail: String = "",
    ) {
        add(CompanionEffect.Record(EventDraft(kind, attempt?.request, upstream, host, note, detail)))
    }

    /** Returns a number that no earlier call of the key-value service has. */
    fun nextTicket(): Long = ++lastTicket

    /** Returns the effects given out since the last call. */
    fun takeEffects(): List<CompanionEffect> {
        val taken = effects
        effects = ArrayList()
        return taken
    }
}
