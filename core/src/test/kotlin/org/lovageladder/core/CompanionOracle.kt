package org.lovageladder.core

import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.test.fail

/** What the entries and upstreams observed of one attempt. */
internal class ObservedAttempt(val start: PeerMessage, val owner: ConnectionId, val ledgerEpoch: Int) {
    var isCancelled = false
    var isOwnerLost = false
    var grantedUntil: Moment? = null
    var isDecodeRequested = false
    var isStarted = false
    var hasEndedAtUpstream = false
    var finalMessageCount = 0
    var lastIndex = -1

    val pieces: Int get() = (start as? PeerMessage.Reserve)?.pieces ?: 0
    val claim: ClaimTicket? get() = (start as? PeerMessage.StartPlain)?.claim
}

/** Verifies the effects of a companion from what was sent to it, what it sent, and what the upstreams run. */
internal class CompanionOracle(private val upstreams: FakeUpstreams) {
    val attempts = LinkedHashMap<AttemptId, ObservedAttempt>()
    val openConnections = LinkedHashSet<ConnectionId>()
    private val attemptsEndedBeforeStart = HashSet<AttemptId>()
    private val startedNumbers = HashMap<String, Long>()
    private val voidedNumbers = HashSet<Pair<String, Long>>()
    val answeredNumbers = HashMap<String, Long>()

    /** Number of withdrawals of the decode engine so far: a new ledger begins with each. */
    var ledgerEpoch = 0
    var mustReadRelease = false
    var isLeaving = false
    var hasExited = false

    fun onDelivered(connection: ConnectionId, message: PeerMessage) {
        if (connection !in openConnections) return
        when (message) {
            is PeerMessage.Reserve -> onStartMessage(message.attempt, connection, message)
            is PeerMessage.StartPrefill -> onStartMessage(message.attempt, connection, message)
            is PeerMessage.StartPlain -> onStartMessage(message.attempt, connection, message)
            is PeerMessage.StartDecode -> attempts[message.attempt]?.isDecodeRequested = true
            is PeerMessage.Cancel -> onCancelMessage(message.attempt)
            else -> Unit
        }
    }

    fun onConnectionEnded(connection: ConnectionId) {
        openConnections -= connection
        attempts.values.filter { it.owner == connection }.forEach { it.isOwnerLost = true }
    }

    /** Records a report that is about to reach the companion. */
    fun onReport(attempt: AttemptId, report: UpstreamReport) {
        val observed = attempts.getValue(attempt)
        val isEngineCall = observed.claim == null && observed.start !is PeerMessage.StartPlain
        when (report) {
            is UpstreamReport.Token -> return
            is UpstreamReport.Failed -> {
                val staysAtUpstream = isEngineCall && report.fault.cause == FaultCause.CONNECTION_LOST
                if (!staysAtUpstream) observed.hasEndedAtUpstream = true
                if (report.execution == Execution.NOT_RUN) observed.claim?.let { startedNumbers.remove(it.storeKey) }
            }
            is UpstreamReport.Answered -> {
                observed.hasEndedAtUpstream = true
                observed.claim?.let { answeredNumbers[it.storeKey] = it.number }
            }
            is UpstreamReport.Finished, is UpstreamReport.PrefillReady -> observed.hasEndedAtUpstream = true
        }
    }

    fun onCancelConfirmed(attempt: AttemptId) {
        attempts.getValue(attempt).hasEndedAtUpstream = true
    }

    /** Verifies one effect at [now]. */
    fun verify(effect: CompanionEffect, now: Moment) {
        assertTrue(!hasExited, "after the exit: $effect")
        when (effect) {
            is CompanionEffect.Send -> verifyMessage(effect.connection, effect.message, now)
            is CompanionEffect.StartCall -> verifyStart(effect)
            is CompanionEffect.Disconnect -> onConnectionEnded(effect.connection)
            is CompanionEffect.Exit -> verifyExit(now)
            else -> Unit
        }
    }

    /** Verifies the companion's [loads] after an event. */
    fun verifyLoads(loads: List<UpstreamLoad>, now: Moment) {
        val engineAllocated = upstreams.activeCalls.filter { it.start.upstream.name == DECODE }
            .sumOf { attempts.getValue(it.attempt).pieces }
        assertTrue(engineAllocated <= DECODE_PIECES, "the engine holds $engineAllocated of $DECODE_PIECES pieces")
        val load = loads.firstOrNull { it.upstream == DECODE } ?: return
        assertEquals(DECODE_PIECES, load.piecesFree + allocatedPieces(now), "free and allocated pieces, $load")
    }

    /**
     * Verifies that each start message on an open connection got exactly one final message, unless the attempt was
     * cancelled. A reservation that was granted and not used gets none.
     */
    fun verifyFinalMessages() {
        for ((attempt, observed) in attempts) {
            if (observed.isCancelled || observed.isOwnerLost) continue
            val expected = if (observed.grantedUntil != null && !observed.isDecodeRequested) 0 else 1
            assertEquals(expected, observed.finalMessageCount, "final messages about $attempt: ${observed.start}")
        }
    }

    private fun onStartMessage(attempt: AttemptId, connection: ConnectionId, message: PeerMessage) {
        if (attempt in attempts || attempt in attemptsEndedBeforeStart) return
        attempts[attempt] = ObservedAttempt(message, connection, ledgerEpoch)
    }

    private fun onCancelMessage(attempt: AttemptId) {
        val observed = attempts[attempt]
        if (observed == null) attemptsEndedBeforeStart += attempt else observed.isCancelled = true
    }

    private fun allocatedPieces(now: Moment): Int = attempts.values
        .filter { it.ledgerEpoch == ledgerEpoch }
        .sumOf { observed ->
            val until = observed.grantedUntil
            val isReserved =
                until != null && !observed.isStarted && until > now && !observed.isCancelled && !observed.isOwnerLost
            val isRunning = observed.isStarted && !observed.hasEndedAtUpstream
            if (isReserved || isRunning) observed.pieces else 0
        }

    private fun verifyMessage(connection: ConnectionId, message: PeerMessage, now: Moment) {
        when (message) {
            is PeerMessage.Granted -> verifyGrant(findAttempt(connection, message.attempt, message), message, now)
            is PeerMessage.TokenProduced -> verifyToken(findAttempt(connection, message.attempt, message), message)
            is PeerMessage.Refused -> verifyRefusal(connection, message)
            is PeerMessage.PrefillReady -> verifyFinalMessage(
                findAttempt(connection, message.attempt, message),
                message,
                needsStart = true,
            )
            is PeerMessage.DecodeFinished ->
                verifyFinalMessage(findAttempt(connection, message.attempt, message), message, needsStart = true)
            is PeerMessage.PlainFinished ->
                verifyFinalMessage(findAttempt(connection, message.attempt, message), message, needsStart = true)
            is PeerMessage.AttemptFailed ->
                verifyFinalMessage(findAttempt(connection, message.attempt, message), message, needsStart = true)
            is PeerMessage.ClaimStatus -> verifyClaimStatus(message)
            is PeerMessage.Leaving -> isLeaving = true
            else -> Unit
        }
    }

    private fun findAttempt(connection: ConnectionId, attempt: AttemptId, message: PeerMessage): ObservedAttempt {
        val observed = attempts[attempt] ?: fail("message about an unknown attempt: $message")
        assertEquals(observed.owner, connection, "owner of $message")
        assertTrue(connection in openConnections, "on a closed connection: $message")
        assertTrue(!observed.isCancelled, "after its cancel: $message")
        assertEquals(0, observed.finalMessageCount, "after the final message: $message")
        return observed
    }

    private fun verifyGrant(observed: ObservedAttempt, message: PeerMessage.Granted, now: Moment) {
        assertNull(observed.grantedUntil, "granted twice: $message")
        verifyMayStart(message.attempt, DECODE)
        observed.grantedUntil = now + message.holdFor
    }

    private fun verifyToken(observed: ObservedAttempt, message: PeerMessage.TokenProduced) {
        assertTrue(observed.isStarted, "token before the start: $message")
        assertTrue(message.index > observed.lastIndex, "index sent twice: $message")
        observed.lastIndex = message.index
    }

    private fun verifyRefusal(connection: ConnectionId, message: PeerMessage.Refused) {
        if (message.attempt !in attempts) {
            attemptsEndedBeforeStart += message.attempt
            return
        }
        val observed = findAttempt(connection, message.attempt, message)
        verifyFinalMessage(observed, message, needsStart = false)
        val claim = observed.claim?.takeIf { message.fault.cause != FaultCause.FENCED } ?: return
        if (startedNumbers[claim.storeKey] != claim.number) voidedNumbers += claim.storeKey to claim.number
    }

    private fun verifyFinalMessage(observed: ObservedAttempt, message: PeerMessage, needsStart: Boolean) {
        assertEquals(needsStart, observed.isStarted, "started before: $message")
        observed.finalMessageCount++
    }

    private fun verifyClaimStatus(message: PeerMessage.ClaimStatus) {
        val started = startedNumbers[message.storeKey]
        if (message.state != ClaimState.VOIDED) {
            assertNotNull(started, "never started: $message")
            return
        }
        assertTrue(started != message.number, "was started: $message")
        voidedNumbers += message.storeKey to message.number
    }

    private fun verifyStart(effect: CompanionEffect.StartCall) {
        val observed = attempts[effect.attempt] ?: fail("start of an unknown attempt: $effect")
        assertTrue(
            !observed.isStarted && !observed.isCancelled && !observed.isOwnerLost && observed.finalMessageCount == 0,
            "start: $effect",
        )
        if (effect.call is UpstreamCall.Decode) {
            assertNotNull(observed.grantedUntil, "no reservation: $effect")
        } else {
            verifyMayStart(effect.attempt, effect.upstream.name)
        }
        observed.isStarted = true
        observed.claim?.let(::verifyClaimedStart)
    }

    private fun verifyClaimedStart(claim: ClaimTicket) {
        assertNull(startedNumbers[claim.storeKey], "started twice: $claim")
        assertTrue(claim.storeKey to claim.number !in voidedNumbers, "voided before: $claim")
        startedNumbers[claim.storeKey] = claim.number
    }

    private fun verifyMayStart(attempt: AttemptId, upstream: UpstreamName) {
        assertTrue(!mustReadRelease, "before the release was read again: $attempt")
        assertTrue(!isLeaving, "after leaving: $attempt")
        assertTrue(upstreams.orphans[upstream].isNullOrEmpty(), "before orphans were cancelled: $attempt")
    }

    private fun verifyExit(now: Moment) {
        assertEquals(0, allocatedPieces(now), "pieces allocated at the exit")
        assertTrue(attempts.values.none { it.isStarted && !it.hasEndedAtUpstream }, "calls running at the exit")
        hasExited = true
    }
}
