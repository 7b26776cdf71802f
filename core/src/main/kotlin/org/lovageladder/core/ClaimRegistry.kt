package org.lovageladder.core

/** Phase of the newest claim number of one key. */
internal enum class ClaimPhase {
    WAITING,
    VOIDED,
    STARTED,
    ANSWERED,
    LOST,
}

/** State of one key. [number] is the highest claim number seen. */
internal class ClaimEntry(val storeKey: String, var number: Long, var phase: ClaimPhase, var changedAt: Moment) {
    var attempt: AttemptId? = null
    var answer: PlainAnswer? = null

    /** Whether the call was sent to the upstream, which may have run it. */
    val wasStarted: Boolean
        get() = phase == ClaimPhase.STARTED || phase == ClaimPhase.ANSWERED || phase == ClaimPhase.LOST
}

/** Whether a claimed call may be queued, or why not. */
internal enum class ClaimAdmission {
    ADMITTED,
    OUTDATED,
    VOIDED,
    ALREADY_STARTED,
}

/**
 * Claims of non-idempotent calls by store key. The call of a key is sent to its upstream at most once in this
 * incarnation, unless the upstream certainly did not run it; a voided number never starts.
 */
internal class ClaimRegistry(private val context: CompanionContext) {
    private val entries = LinkedHashMap<String, ClaimEntry>()
    private val followers = HashMap<String, LinkedHashSet<ClaimFollower>>()

    /** Number of keys whose call was started. */
    val startedCount: Int get() = entries.values.count { it.wasStarted }

    /** Decides whether [attempt] may be queued under [claim] and, when admitted, records it as waiting to start. */
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
        entry.phase == ClaimPhase.VOIDED -> ClaimAdmission.VOIDED
        else -> ClaimAdmission.ALREADY_STARTED
    }

    /** Attempt that waits to start [storeKey] under [number] or a lower one. */
    fun waitingAttempt(storeKey: String, number: Long): AttemptId? =
        entries[storeKey]?.takeIf { it.phase == ClaimPhase.WAITING && it.number <= number }?.attempt

    fun recordStart(claim: ClaimTicket) {
        val entry = checkNotNull(entries[claim.storeKey]) { "${claim.storeKey} was not admitted" }
        check(entry.phase == ClaimPhase.WAITING && entry.number == claim.number) {
            "${claim.storeKey} does not wait to start under ${claim.number}"
        }
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

    /** Voids the number of a claim that was not started, or that the upstream certainly did not run. */
    fun voidNotRun(claim: ClaimTicket) {
        val entry = entries[claim.storeKey] ?: return
        if (entry.number != claim.number || entry.phase == ClaimPhase.VOIDED) return
        update(entry, ClaimPhase.VOIDED)
        context.output.record(EventKind.CLAIM_VOIDED, entry.attempt, detail = claim.storeKey)
        notifyFollowers(entry)
    }

    /**
     * Forbids the start of [storeKey] under [number], unless the key was started, and returns the state of the claim.
     */
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

    /** Subscribes [connection] to the end of the claim and returns its state; null when it may still start. */
    fun follow(connection: ConnectionId, storeKey: String, number: Long): PeerMessage.ClaimStatus? {
        val status = statusOf(storeKey, number)
        if (status == null || status.state == ClaimState.STARTED) {
            followers.getOrPut(storeKey) { LinkedHashSet() }.add(ClaimFollower(connection, number))
        }
        return status
    }

    /** State of [storeKey] under [number]; null when it may still start under this number. */
    fun statusOf(storeKey: String, number: Long): PeerMessage.ClaimStatus? =
        entries[storeKey]?.let { status(it, number) }

    fun connectionLost(connection: ConnectionId) {
        val iterator = followers.values.iterator()
        while (iterator.hasNext()) {
            val keyFollowers = iterator.next()
            keyFollowers.removeAll { it.connection == connection }
            if (keyFollowers.isEmpty()) iterator.remove()
        }
    }

    /**
     * Removes keys that were voided or answered longer ago than the retention time and are no longer [isNeeded]. Keys
     * whose answer was lost are kept.
     */
    fun removeExpired(isNeeded: (String) -> Boolean) {
        val iterator = entries.values.iterator()
        while (iterator.hasNext()) {
            val entry = iterator.next()
            if (entry.changedAt + context.settings.claimMemory > context.now) return
            val mayRemove = entry.phase == ClaimPhase.VOIDED || entry.phase == ClaimPhase.ANSWERED
            if (mayRemove && !isNeeded(entry.storeKey)) iterator.remove()
        }
    }

    private fun update(entry: ClaimEntry, phase: ClaimPhase, number: Long = entry.number) {
        entry.phase = phase
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
            entry.phase == ClaimPhase.STARTED -> ClaimState.STARTED
            entry.phase == ClaimPhase.ANSWERED -> ClaimState.ANSWERED
            entry.phase == ClaimPhase.LOST -> ClaimState.LOST
            entry.phase == ClaimPhase.VOIDED && number == entry.number -> ClaimState.VOIDED
            else -> return null
        }
        return PeerMessage.ClaimStatus(
            entry.storeKey,
            number,
            state,
            entry.answer.takeIf { state == ClaimState.ANSWERED },
        )
    }

    private data class ClaimFollower(val connection: ConnectionId, val number: Long)
}
