package org.lovageladder.core

/** What the gate knows of the start that was last asked for one key. */
internal enum class GateState {
    WAITING,
    VOIDED,
    STARTED,
    ANSWERED,
    LOST,
}

/** One key of the gate. [number] is the highest number seen. */
internal class GateKey(val storeKey: String, var number: Long, var state: GateState, var changedAt: Moment) {
    var attempt: AttemptId? = null
    var answer: PlainAnswer? = null

    /** Whether the upstream was given the action and may have run it. */
    val wasStarted: Boolean
        get() = state == GateState.STARTED || state == GateState.ANSWERED || state == GateState.LOST
}

/** Whether a claimed call may be queued for its start. */
internal enum class GateVerdict {
    ADMITTED,
    OUTDATED,
    VOIDED,
    ALREADY_STARTED,
}

/**
 * Start gate of non-idempotent calls, by key of their claim. A key is handed to its upstream at most once in this
 * incarnation, unless the upstream certainly did not run it; a voided number is never started.
 */
internal class StartGate(private val context: CompanionContext) {
    private val keys = LinkedHashMap<String, GateKey>()
    private val followers = HashMap<String, LinkedHashSet<ClaimFollower>>()

    /** Keys that were started. */
    val startedCount: Int get() = keys.values.count { it.wasStarted }

    /** Decides on a start of [claim] by [attempt] and, when admitted, makes it the one that waits for its start. */
    fun admit(claim: ClaimTicket, attempt: AttemptId): GateVerdict {
        val key = keys[claim.storeKey]
        val verdict = if (key == null) GateVerdict.ADMITTED else verdictOn(key, claim.number)
        if (verdict != GateVerdict.ADMITTED) return verdict
        val admitted = key ?: GateKey(claim.storeKey, claim.number, GateState.WAITING, context.now)
        admitted.attempt = attempt
        change(admitted, GateState.WAITING, claim.number)
        tellFollowers(admitted)
        return verdict
    }

    private fun verdictOn(key: GateKey, number: Long): GateVerdict = when {
        key.wasStarted -> GateVerdict.ALREADY_STARTED
        number < key.number -> GateVerdict.OUTDATED
        number > key.number -> GateVerdict.ADMITTED
        key.state == GateState.VOIDED -> GateVerdict.VOIDED
        else -> GateVerdict.ALREADY_STARTED
    }

    /** Attempt that waits for the start of [storeKey] under a number up to [number]. */
    fun waitingAttempt(storeKey: String, number: Long): AttemptId? =
        keys[storeKey]?.takeIf { it.state == GateState.WAITING && it.number <= number }?.attempt

    fun started(claim: ClaimTicket) {
        val key = checkNotNull(keys[claim.storeKey]) { "${claim.storeKey} was not admitted" }
        check(key.state == GateState.WAITING && key.number == claim.number) { "${claim.storeKey} may not start" }
        change(key, GateState.STARTED)
        tellFollowers(key)
    }

    fun answered(claim: ClaimTicket, answer: PlainAnswer) {
        val key = keys[claim.storeKey] ?: return
        key.answer = answer
        change(key, GateState.ANSWERED)
        tellFollowers(key)
    }

    fun lost(claim: ClaimTicket) {
        val key = keys[claim.storeKey] ?: return
        change(key, GateState.LOST)
        tellFollowers(key)
    }

    /** Takes back an admitted or certainly not run start: its number never starts. */
    fun withdraw(claim: ClaimTicket) {
        val key = keys[claim.storeKey] ?: return
        if (key.number != claim.number || key.state == GateState.VOIDED) return
        change(key, GateState.VOIDED)
        context.output.record(EventKind.CLAIM_VOIDED, key.attempt, detail = claim.storeKey)
        tellFollowers(key)
    }

    /** Forbids the start of [storeKey] under [number], unless the key was started, and returns what is known. */
    fun void(storeKey: String, number: Long): PeerMessage.ClaimStatus {
        val key = keys[storeKey]
        if (key == null) {
            keys[storeKey] = GateKey(storeKey, number, GateState.VOIDED, context.now)
            context.output.record(EventKind.CLAIM_VOIDED, detail = storeKey)
            return PeerMessage.ClaimStatus(storeKey, number, ClaimState.VOIDED)
        }
        if (!key.wasStarted && key.number <= number) {
            change(key, GateState.VOIDED, number)
            context.output.record(EventKind.CLAIM_VOIDED, key.attempt, detail = storeKey)
            tellFollowers(key)
        }
        return checkNotNull(status(key, number)) { "$storeKey may still start under $number" }
    }

    /** Registers [connection] to be told the end of the claim, and returns what is known now; null when nothing is. */
    fun follow(connection: ConnectionId, storeKey: String, number: Long): PeerMessage.ClaimStatus? {
        val status = statusOf(storeKey, number)
        if (status == null || status.state == ClaimState.STARTED) {
            followers.getOrPut(storeKey) { LinkedHashSet() }.add(ClaimFollower(connection, number))
        }
        return status
    }

    /** What is known of [storeKey] under [number]; null when it may still start under this number. */
    fun statusOf(storeKey: String, number: Long): PeerMessage.ClaimStatus? = keys[storeKey]?.let { status(it, number) }

    fun connectionLost(connection: ConnectionId) {
        val iterator = followers.values.iterator()
        while (iterator.hasNext()) {
            val group = iterator.next()
            group.removeAll { it.connection == connection }
            if (group.isEmpty()) iterator.remove()
        }
    }

    /** Forgets keys that ended long ago and whose answer is no longer [needed]. Lost ones are kept. */
    fun forgetOld(needed: (String) -> Boolean) {
        val iterator = keys.values.iterator()
        while (iterator.hasNext()) {
            val key = iterator.next()
            if (key.changedAt + context.settings.claimMemory > context.now) return
            val mayForget = key.state == GateState.VOIDED || key.state == GateState.ANSWERED
            if (mayForget && !needed(key.storeKey)) iterator.remove()
        }
    }

    private fun change(key: GateKey, state: GateState, number: Long = key.number) {
        key.state = state
        key.number = number
        key.changedAt = context.now
        keys.remove(key.storeKey)
        keys[key.storeKey] = key
    }

    private fun tellFollowers(key: GateKey) {
        val group = followers[key.storeKey] ?: return
        group.removeAll { follower ->
            val status = status(key, follower.number)
            if (status != null) context.output.send(follower.connection, status)
            status != null && status.state != ClaimState.STARTED
        }
        if (group.isEmpty()) followers.remove(key.storeKey)
    }

    private fun status(key: GateKey, number: Long): PeerMessage.ClaimStatus? {
        val state = when {
            number < key.number -> ClaimState.VOIDED
            key.state == GateState.STARTED -> ClaimState.STARTED
            key.state == GateState.ANSWERED -> ClaimState.ANSWERED
            key.state == GateState.LOST -> ClaimState.LOST
            key.state == GateState.VOIDED && number == key.number -> ClaimState.VOIDED
            else -> return null
        }
        return PeerMessage.ClaimStatus(key.storeKey, number, state, key.answer.takeIf { state == ClaimState.ANSWERED })
    }

    private data class ClaimFollower(val connection: ConnectionId, val number: Long)
}
