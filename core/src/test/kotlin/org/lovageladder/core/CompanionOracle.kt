package org.lovageladder.core

import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.test.fail

/** What is known from outside about one attempt. */
internal class KnownAttempt(val start: PeerMessage, val owner: ConnectionId, val epoch: Int) {
    var isCancelled = false
    var isOwnerLost = false
    var grantedUntil: Moment? = null
    var isDecodeAsked = false
    var isStarted = false
    var hasEndedAtUpstream = false
    var finals = 0
    var lastIndex = -1

    val pieces: Int get() = (start as? PeerMessage.Reserve)?.pieces ?: 0
    val claim: ClaimTicket? get() = (start as? PeerMessage.StartPlain)?.claim
}

/**
 * Judges what a companion gives out, knowing only what it was sent, what it told whom, and what the upstreams run.
 */
internal class CompanionOracle(private val upstreams: FakeUpstreams) {
    val attempts = LinkedHashMap<AttemptId, KnownAttempt>()
    val live = LinkedHashSet<ConnectionId>()
    private val closedEarly = HashSet<AttemptId>()
    private val startedKeys = HashMap<String, Long>()
    private val neverStart = HashSet<Pair<String, Long>>()
    val answeredKeys = HashMap<String, Long>()

    /** Counts the withdrawals of the decode engine: each begins a new ledger. */
    var epoch = 0
    var mustRead = false
    var isLeaving = false
    var hasExited = false

    fun delivered(connection: ConnectionId, message: PeerMessage) {
        if (connection !in live) return
        when (message) {
            is PeerMessage.Reserve -> opened(message.attempt, connection, message)
            is PeerMessage.StartPrefill -> opened(message.attempt, connection, message)
            is PeerMessage.StartPlain -> opened(message.attempt, connection, message)
            is PeerMessage.StartDecode -> attempts[message.attempt]?.isDecodeAsked = true
            is PeerMessage.Cancel -> cancelled(message.attempt)
            else -> Unit
        }
    }

    fun connectionEnded(connection: ConnectionId) {
        live -= connection
        attempts.values.filter { it.owner == connection }.forEach { it.isOwnerLost = true }
    }

    /** Takes in a report that is about to reach the companion. */
    fun reported(attempt: AttemptId, report: UpstreamReport) {
        val known = attempts.getValue(attempt)
        val isEngineCall = known.claim == null && known.start !is PeerMessage.StartPlain
        when (report) {
            is UpstreamReport.Token -> return
            is UpstreamReport.Failed -> {
                val stays = isEngineCall && report.fault.cause == FaultCause.CONNECTION_LOST
                if (!stays) known.hasEndedAtUpstream = true
                if (report.execution == Execution.NOT_RUN) known.claim?.let { startedKeys.remove(it.storeKey) }
            }
            is UpstreamReport.Answered -> {
                known.hasEndedAtUpstream = true
                known.claim?.let { answeredKeys[it.storeKey] = it.number }
            }
            is UpstreamReport.Finished, is UpstreamReport.PrefillReady -> known.hasEndedAtUpstream = true
        }
    }

    fun cancelConfirmed(attempt: AttemptId) {
        attempts.getValue(attempt).hasEndedAtUpstream = true
    }

    /** Judges one effect at [now]. */
    fun judge(effect: CompanionEffect, now: Moment) {
        assertTrue(!hasExited, "after the exit: $effect")
        when (effect) {
            is CompanionEffect.Send -> judgeMessage(effect.connection, effect.message, now)
            is CompanionEffect.StartCall -> judgeStart(effect)
            is CompanionEffect.Disconnect -> connectionEnded(effect.connection)
            is CompanionEffect.Exit -> judgeExit(now)
            else -> Unit
        }
    }

    /** Judges the companion's [loads] after an event. */
    fun judgeLoads(loads: List<UpstreamLoad>, now: Moment) {
        val engineHeld = upstreams.held.filter { it.start.upstream.name == DECODE }
            .sumOf { attempts.getValue(it.attempt).pieces }
        assertTrue(engineHeld <= DECODE_PIECES, "the engine holds $engineHeld of $DECODE_PIECES pieces")
        val load = loads.firstOrNull { it.upstream == DECODE } ?: return
        assertEquals(DECODE_PIECES, load.piecesFree + ledgerHeld(now), "free and held pieces, $load")
    }

    /** Judges that each start on a connection that lives got its one last answer, unless it was cancelled. */
    fun judgeAnswers() {
        for ((attempt, known) in attempts) {
            if (known.isCancelled || known.isOwnerLost) continue
            val expected = if (known.grantedUntil != null && !known.isDecodeAsked) 0 else 1
            assertEquals(expected, known.finals, "last answers to $attempt: ${known.start}")
        }
    }

    private fun opened(attempt: AttemptId, connection: ConnectionId, message: PeerMessage) {
        if (attempt in attempts || attempt in closedEarly) return
        attempts[attempt] = KnownAttempt(message, connection, epoch)
    }

    private fun cancelled(attempt: AttemptId) {
        val known = attempts[attempt]
        if (known == null) closedEarly += attempt else known.isCancelled = true
    }

    private fun ledgerHeld(now: Moment): Int = attempts.values.filter { it.epoch == epoch }.sumOf { known ->
        val until = known.grantedUntil
        val isReserved = until != null && !known.isStarted && until > now && !known.isCancelled && !known.isOwnerLost
        val isRunning = known.isStarted && !known.hasEndedAtUpstream
        if (isReserved || isRunning) known.pieces else 0
    }

    private fun judgeMessage(connection: ConnectionId, message: PeerMessage, now: Moment) {
        when (message) {
            is PeerMessage.Granted -> granted(known(connection, message.attempt, message), message, now)
            is PeerMessage.TokenProduced -> token(known(connection, message.attempt, message), message)
            is PeerMessage.Refused -> refused(connection, message)
            is PeerMessage.PrefillReady -> final(
                known(connection, message.attempt, message),
                message,
                needsStart = true,
            )
            is PeerMessage.DecodeFinished ->
                final(known(connection, message.attempt, message), message, needsStart = true)
            is PeerMessage.PlainFinished ->
                final(known(connection, message.attempt, message), message, needsStart = true)
            is PeerMessage.AttemptFailed ->
                final(known(connection, message.attempt, message), message, needsStart = true)
            is PeerMessage.ClaimStatus -> claimStatus(message)
            is PeerMessage.Leaving -> isLeaving = true
            else -> Unit
        }
    }

    private fun known(connection: ConnectionId, attempt: AttemptId, message: PeerMessage): KnownAttempt {
        val known = attempts[attempt] ?: fail("message about an unknown attempt: $message")
        assertEquals(known.owner, connection, "owner of $message")
        assertTrue(connection in live, "on a dead connection: $message")
        assertTrue(!known.isCancelled, "after its cancel: $message")
        assertEquals(0, known.finals, "after the last answer: $message")
        return known
    }

    private fun granted(known: KnownAttempt, message: PeerMessage.Granted, now: Moment) {
        assertNull(known.grantedUntil, "granted twice: $message")
        mayTakeNew(message.attempt, DECODE)
        known.grantedUntil = now + message.holdFor
    }

    private fun token(known: KnownAttempt, message: PeerMessage.TokenProduced) {
        assertTrue(known.isStarted, "token before the start: $message")
        assertTrue(message.index > known.lastIndex, "index given twice: $message")
        known.lastIndex = message.index
    }

    private fun refused(connection: ConnectionId, message: PeerMessage.Refused) {
        if (message.attempt !in attempts) {
            closedEarly += message.attempt
            return
        }
        val known = known(connection, message.attempt, message)
        final(known, message, needsStart = false)
        val claim = known.claim?.takeIf { message.fault.cause != FaultCause.FENCED } ?: return
        if (startedKeys[claim.storeKey] != claim.number) neverStart += claim.storeKey to claim.number
    }

    private fun final(known: KnownAttempt, message: PeerMessage, needsStart: Boolean) {
        assertEquals(needsStart, known.isStarted, "started before: $message")
        known.finals++
    }

    private fun claimStatus(message: PeerMessage.ClaimStatus) {
        val started = startedKeys[message.storeKey]
        if (message.state != ClaimState.VOIDED) {
            assertNotNull(started, "never started: $message")
            return
        }
        assertTrue(started != message.number, "was started: $message")
        neverStart += message.storeKey to message.number
    }

    private fun judgeStart(effect: CompanionEffect.StartCall) {
        val known = attempts[effect.attempt] ?: fail("start of an unknown attempt: $effect")
        assertTrue(!known.isStarted && !known.isCancelled && !known.isOwnerLost && known.finals == 0, "start: $effect")
        if (effect.call is UpstreamCall.Decode) {
            assertNotNull(known.grantedUntil, "no reservation: $effect")
        } else {
            mayTakeNew(effect.attempt, effect.upstream.name)
        }
        known.isStarted = true
        known.claim?.let(::judgeClaimedStart)
    }

    private fun judgeClaimedStart(claim: ClaimTicket) {
        assertNull(startedKeys[claim.storeKey], "started twice: $claim")
        assertTrue(claim.storeKey to claim.number !in neverStart, "voided: $claim")
        startedKeys[claim.storeKey] = claim.number
    }

    private fun mayTakeNew(attempt: AttemptId, upstream: UpstreamName) {
        assertTrue(!mustRead, "before the release was read anew: $attempt")
        assertTrue(!isLeaving, "after leaving: $attempt")
        assertTrue(upstreams.orphans[upstream].isNullOrEmpty(), "beside calls of an earlier incarnation: $attempt")
    }

    private fun judgeExit(now: Moment) {
        assertEquals(0, ledgerHeld(now), "held at the exit")
        assertTrue(attempts.values.none { it.isStarted && !it.hasEndedAtUpstream }, "running at the exit")
        hasExited = true
    }
}
