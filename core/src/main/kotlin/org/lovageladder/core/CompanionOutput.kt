package org.lovageladder.core

/** Collects, in order, the effects of handling one event at time [now]. */
internal class CompanionOutput {
    var now: Moment = Moment(0)
    private var effects = ArrayList<CompanionEffect>()
    private var lastStoreCallNumber = 0L

    fun add(effect: CompanionEffect) {
        effects.add(effect)
    }

    /** Sends [message]; does nothing when [connection] is null. */
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

    /** Returns a number that was not used for an earlier call of the key-value service. */
    fun nextStoreCallNumber(): Long = ++lastStoreCallNumber

    /** Returns the effects collected since the last call. */
    fun takeEffects(): List<CompanionEffect> {
        val collected = effects
        effects = ArrayList()
        return collected
    }
}
