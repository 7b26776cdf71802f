package org.lovageladder.core

/** What the gate knows of the start that was last asked for one key. */
internal enum class ClaimPhase {
    WAITING,
    VOIDED,
    STARTED,
    ANSWERED,
    LOST,
}

/** One key of the gate. [number] is the highest number seen. */
internal class ClaimEntry(val storeKey: String, var number: Long, var state: ClaimPhase, var changedAt: Moment) {
    var attempt: AttemptId? = null
    var answer: PlainAnswer? = null

    /** Whether the upstream was given the action and may have run it. */
    val wasStarted: Boolean
        get() = state == ClaimPhase.STARTED || state == ClaimPhase.ANSWERED || state == ClaimPhase.LOST
}

/** Whether a claimed call may be queued for its start. */
internal enum class ClaimAdmission {
    ADMITTED,
    OUTDATED,
    VOIDED,
    ALREADY_STARTED,
}

/**
 * Start gate of non-idempotent calls, by key of their claim. A key is handed to its upstream at most once in this
 * incarnation, unless the upstream certainly did not run it; a voided number is never started.
 */
internal class ClaimRegistry(private val context: CompanionContext) {
    private val entries = LinkedHashMap<String, ClaimEntry>()
    private val followers = HashMap<String, LinkedHashSet<ClaimFollower>>()

    /** Keys that were started. */
    val startedCount: Int get() = entries.values.count { it.wasStarted }

    /** Decides on a start of [claim] by [attempt] and, when admitted, makes it the one that waits for its start. */
    fun admit(claim: ClaimTicket, attempt: AttemptId): ClaimAdmission {
        val entry = entries[claim.storeKey]
        val admission = if (entry == null) ClaimAdmission.ADMITTED else admissionOf(entry, claim.number)
        if (admission != ClaimAdmission.ADMITTED) return admission
        val admitted = entry ?: ClaimEntry(claim.storeKey, claim.number, ClaimPhase.WAITING, context.now)
        admitted.attempt = attempt
        update(admitted, ClaimPhase.WAITING, claim.number)
        notifyFollowers(admitted)
        return admission
    }

    private fun admissionOf(entry: ClaimEntry, number: Long): ClaimAdmission = when {
        entry.wasStarted -> ClaimAdmission.ALREADY_STARTED
        number < entry.number -> ClaimAdmission.OUTDATED
        number > entry.number -> ClaimAdmission.ADMITTED
        entry.state == ClaimPhase.VOIDED -> ClaimAdmission.VOIDED
        else -> ClaimAdmission.ALREADY_STARTED
    }

    /** Attempt that waits for the start of [storeKey] under a number up to [number]. */
    fun waitingAttempt(storeKey: String, number: Long): AttemptId? =
        entries[storeKey]?.takeIf { it.state == ClaimPhase.WAITING && it.number <= number }?.attempt

    fun recordStart(claim: ClaimTicket) {
        val entry = checkNotNull(entries[claim.storeKey]) { "${claim.storeKey} was not admitted" }
        check(entry.state == ClaimPhase.WAITING && entry.number == claim.number) { "${claim.storeKey} may not start" }
        update(entry, ClaimPhase.STARTED)
        notifyFollowers(entry)
    }

    fun recordAnswer(claim: ClaimTicket, answer: PlainAnswer) {
        val entry = entries[claim.storeKey] ?: return
        entry.answer = answer
        update(entry, ClaimPhase.ANSWERED)
        notifyFollowers(entry)
    }

    fun recordLostAnswer(claim: ClaimTicket) {
        val entry = entries[claim.storeKey] ?: return
        update(entry, ClaimPhase.LOST)
        notifyFollowers(entry)
    }

    /** Takes back an admitted or certainly not run start: its number never starts. */
    fun voidNotRun(claim: ClaimTicket) {
        val entry = entries[claim.storeKey] ?: return
        if (entry.number != claim.number || entry.state == ClaimPhase.VOIDED) return
        update(entry, ClaimPhase.VOIDED)
        context.output.record(EventKind.CLAIM_VOIDED, entry.attempt, detail = claim.storeKey)
        notifyFollowers(entry)
    }

    /** Forbids the start of [storeKey] under [number], unless the key was started, and returns what is known. */
    fun void(storeKey: String, number: Long): PeerMessage.ClaimStatus {
        val entry = entries[storeKey]
        if (entry == null) {
            entries[storeKey] = ClaimEntry(storeKey, number, ClaimPhase.VOIDED, context.now)
            context.output.record(EventKind.CLAIM_VOIDED, detail = storeKey)
            return PeerMessage.ClaimStatus(storeKey, number, ClaimState.VOIDED)
        }
        if (!entry.wasStarted && entry.number <= number) {
            update(entry, ClaimPhase.VOIDED, number)
            context.output.record(EventKind.CLAIM_VOIDED, entry.attempt, detail = storeKey)
            notifyFollowers(entry)
        }
        return checkNotNull(status(entry, number)) { "$storeKey may still start under $number" }
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
    fun statusOf(storeKey: String, number: Long): PeerMessage.ClaimStatus? = entries[storeKey]?.let { status(it, number) }

    fun connectionLost(connection: ConnectionId) {
        val iterator = followers.values.iterator()
        while (iterator.hasNext()) {
            val keyFollowers = iterator.next()
            keyFollowers.removeAll { it.connection == connection }
            if (keyFollowers.isEmpty()) iterator.remove()
        }
    }

    /** Forgets keys that ended long ago and whose answer is no longer [isNeeded]. Lost ones are kept. */
    fun removeExpired(isNeeded: (String) -> Boolean) {
        val iterator = entries.values.iterator()
        while (iterator.hasNext()) {
            val entry = iterator.next()
            if (entry.changedAt + context.settings.claimMemory > context.now) return
            val mayRemove = entry.state == ClaimPhase.VOIDED || entry.state == ClaimPhase.ANSWERED
            if (mayRemove && !isNeeded(entry.storeKey)) iterator.remove()
        }
    }

    private fun update(entry: ClaimEntry, state: ClaimPhase, number: Long = entry.number) {
        entry.state = state
        entry.number = number
        entry.changedAt = context.now
        entries.remove(entry.storeKey)
        entries[entry.storeKey] = entry
    }

    private fun notifyFollowers(entry: ClaimEntry) {
        val keyFollowers = followers[entry.storeKey] ?: return
        keyFollowers.removeAll { follower ->
            val status = status(entry, follower.number)
            if (status != null) context.output.send(follower.connection, status)
            status != null && status.state != ClaimState.STARTED
        }
        if (keyFollowers.isEmpty()) followers.remove(entry.storeKey)
    }

    private fun status(entry: ClaimEntry, number: Long): PeerMessage.ClaimStatus? {
        val state = when {
            number < entry.number -> ClaimState.VOIDED
            entry.state == ClaimPhase.STARTED -> ClaimState.STARTED
            entry.state == ClaimPhase.ANSWERED -> ClaimState.ANSWERED
            entry.state == ClaimPhase.LOST -> ClaimState.LOST
            entry.state == ClaimPhase.VOIDED && number == entry.number -> ClaimState.VOIDED
            else -> return null
        }
        return PeerMessage.ClaimStatus(entry.storeKey, number, state, entry.answer.takeIf { state == ClaimState.ANSWERED })
    }

    private data class ClaimFollower(val connection: ConnectionId, val number: Long)
}
