package org.lovageladder.core

import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private const val KEY = "claims/service/key"

class ClaimedCallsTest {
    private val first = attempt(1)
    private val second = attempt(2)

    private class Row(
        val name: String,
        val before: CompanionHarness.() -> Unit,
        val number: Long,
        val state: ClaimState?,
        val starts: Int,
    )

    /**
     * What voiding reports in each state, and how often the call was started in the end although its start message
     * follows.
     */
    @Test
    fun aVoidedNumberNeverStartsAndAStartedOneIsNeverReportedAsVoided() {
        val rows = listOf(
            Row("never seen", {}, 1, ClaimState.VOIDED, 0),
            Row("waiting", { fillWorkers().also { start(first, 1) } }, 1, ClaimState.VOIDED, 0),
            Row("started", { start(first, 1) }, 1, ClaimState.STARTED, 1),
            Row("answered", { start(first, 1).also { answer(first) } }, 1, ClaimState.ANSWERED, 1),
            Row("lost", { start(first, 1).also { fail(first, Execution.UNKNOWN) } }, 1, ClaimState.LOST, 1),
            Row("not run", { start(first, 1).also { fail(first, Execution.NOT_RUN) } }, 1, ClaimState.VOIDED, 1),
            Row("older than started", { start(first, 2) }, 1, ClaimState.VOIDED, 1),
            Row("newer than started", { start(first, 1) }, 2, ClaimState.STARTED, 1),
            Row("newer than waiting", { fillWorkers().also { start(first, 1) } }, 2, ClaimState.VOIDED, 0),
            Row(
                "refused at its deadline",
                { fillWorkers().also { start(first, 1) }.also { advanceTime(1.seconds) } },
                1,
                VOIDED,
                0,
            ),
            Row("cancelled waiting", { fillWorkers().also { start(first, 1) }.also { cancel() } }, 1, VOIDED, 0),
            Row("owner lost, waiting", { fillWorkers().also { start(first, 1) }.also { reconnect() } }, 1, VOIDED, 0),
            Row("owner lost, running", { start(first, 1).also { reconnect() } }, 1, ClaimState.STARTED, 1),
            Row("cancelled, running", { start(first, 1).also { cancel() } }, 1, ClaimState.STARTED, 1),
        )
        for (row in rows) {
            val harness = harness()
            row.before(harness)
            val status = harness.receive(PeerMessage.VoidClaim(KEY, row.number)).sent<PeerMessage.ClaimStatus>().last()
            assertEquals(row.state, status.state, row.name)
            assertEquals(if (row.state == ClaimState.ANSWERED) ANSWER else null, status.answer, row.name)
            harness.freeWorkers()
            harness.start(attempt(9), row.number)
            assertEquals(row.starts, harness.startsOfKey(), row.name)
        }
    }

    /**
     * An upstream that keeps one highest fencing number for all keys would refuse every new key after a contested one.
     */
    @Test
    fun aClaimNumberIsNotSentAsFencingNumber() {
        val harness = harness()
        val contested = harness.receive(startPlain(first, claim(17, "contested")))
        val fresh = harness.receive(startPlain(second, claim(1, "fresh")))
        val calls = (contested + fresh).filterIsInstance<CompanionEffect.StartCall>().map {
            it.call as UpstreamCall.Plain
        }
        assertEquals(listOf(null, null), calls.map { it.fencing })
    }

    @Test
    fun aStartIsRefusedUnlessItsNumberIsTheNewestAndTheClaimNamesThisIncarnation() {
        val rows = listOf(
            Triple("another host", claim(host = OTHER_HOST), FaultCause.FENCED),
            Triple("another incarnation", claim(incarnation = Incarnation(6)), FaultCause.FENCED),
            Triple("number unlike the record's", claim(1).copy(number = 2), FaultCause.FENCED),
            Triple("started under the same number", claim(3, "started"), FaultCause.FENCED),
            Triple("started under an older number", claim(4, "started"), FaultCause.FENCED),
            Triple("below the highest voided", claim(2, "voided"), FaultCause.FENCED),
            Triple("voided", claim(3, "voided"), FaultCause.FENCED),
        )
        for ((name, claim, cause) in rows) {
            val harness = harness()
            harness.receive(startPlain(attempt(10), claim(3, "started")))
            harness.receive(PeerMessage.VoidClaim("voided", 3))
            val effects = harness.receive(startPlain(first, claim))
            assertEquals(cause, effects.sent<PeerMessage.Refused>().single().fault.cause, name)
            assertEquals(0, effects.count { it is CompanionEffect.StartCall }, name)
        }
    }

    @Test
    fun aTakeoverOfAVoidedClaimStartsUnderItsHigherNumber() {
        val harness = harness()
        harness.receive(PeerMessage.VoidClaim(KEY, 1))
        harness.start(first, 1)
        harness.start(second, 2)
        assertEquals(1, harness.startsOfKey())
    }

    @Test
    fun theClaimStatusIsSentBeforeASecondStartOfAStartedKeyIsRefused() {
        val harness = harness()
        harness.start(first, 1)
        val sent = harness.start(second, 1).messages()
        assertEquals(ClaimState.STARTED, (sent[0] as PeerMessage.ClaimStatus).state)
        assertEquals(second, (sent[1] as PeerMessage.Refused).attempt)
    }

    @Test
    fun aFollowerReceivesTheCurrentAndTheFinalState() {
        val endings = listOf<Pair<CompanionHarness.() -> Unit, ClaimState>>(
            Pair({ answer(first) }, ClaimState.ANSWERED),
            Pair({ fail(first, Execution.UNKNOWN) }, ClaimState.LOST),
            Pair({ fail(first, Execution.NOT_RUN) }, ClaimState.VOIDED),
        )
        for ((end, state) in endings) {
            val harness = harness().also { it.connect(OTHER_ENTRY) }
            harness.start(first, 1)
            harness.receive(PeerMessage.FollowClaim(KEY, 1), OTHER_ENTRY)
            harness.end()
            val states = harness.effects.messages(OTHER_ENTRY).filterIsInstance<PeerMessage.ClaimStatus>()
            assertEquals(listOf(ClaimState.STARTED, state), states.map { it.state })
        }
    }

    @Test
    fun aNumberThatMayStillStartIsNotReportedAsVoidedToAFollower() {
        val harness = harness()
        harness.receive(PeerMessage.VoidClaim(KEY, 1))
        assertEquals(emptyList(), harness.receive(PeerMessage.FollowClaim(KEY, 2)).messages())
        assertEquals(ClaimState.STARTED, harness.start(first, 2).sent<PeerMessage.ClaimStatus>().single().state)
    }

    @Test
    fun aRunningClaimedCallContinuesWithoutItsEntryAndAnUnclaimedOneIsCancelled() {
        val harness = harness()
        harness.start(first, 1)
        harness.receive(startPlain(second))
        val cancelled = harness.disconnect().filterIsInstance<CompanionEffect.CancelCall>()
        assertEquals(listOf(second), cancelled.map { it.attempt })
    }

    @Test
    fun theWriteOfAnAnswerIsRetriedUntilTheStoreHasIt() {
        val harness = harness()
        harness.start(first, 1)
        var effects = harness.answer(first)
        val replace = effects.storeRequests().single() as StoreRequest.Replace
        assertEquals(claim().revision, replace.expectedRevision)
        assertEquals(
            claim().record.copy(answer = ANSWER),
            Json.decodeFromString(ClaimRecord.serializer(), replace.write.value),
        )
        val intervals = (1..8).map {
            harness.answerStore(effects, unavailable())
            val startedAt = harness.now
            effects = harness.advanceTimeUntilWrite()
            harness.now - startedAt
        }
        assertEquals(listOf(100, 200, 400, 800, 1600, 3200, 5000, 5000).map { it.milliseconds }, intervals)
        val stored = StoredEntry(KEY, replace.write.value, 50)
        harness.answerStore(effects, StoreAnswer.Conflict(listOf(stored)))
        assertEquals(0, harness.advanceTime(1.minutes).storeRequests().count { it is StoreRequest.Replace })
        assertTrue(EventKind.CLAIM_UNKNOWN !in harness.effects.recorded())
    }

    @Test
    fun anAnswerWhoseClaimHasChangedIsRecordedAsUnknown() {
        val harness = harness()
        harness.start(first, 1)
        val effects = harness.answerStore(harness.answer(first), StoreAnswer.Conflict(emptyList()))
        assertTrue(EventKind.CLAIM_UNKNOWN in effects.recorded())
    }

    @Test
    fun aLostClaimIsNeverRemovedWhileAnAnsweredOneExpires() {
        val harness = harness()
        harness.start(first, 1)
        harness.fail(first, Execution.UNKNOWN)
        harness.receive(startPlain(second, claim(1, "other")))
        harness.answerStore(harness.answer(second), StoreAnswer.Written(50))
        harness.disconnect()
        harness.advanceTime(61.minutes)
        assertEquals(1, harness.companion.status(harness.now).startedClaims)
        harness.connect()
        val status = harness.receive(PeerMessage.VoidClaim(KEY, 1)).sent<PeerMessage.ClaimStatus>().single()
        assertEquals(ClaimState.LOST, status.state)
    }

    private fun harness() = CompanionHarness().makeReady().also { it.connect() }

    private fun CompanionHarness.start(attempt: AttemptId, number: Long) = receive(startPlain(attempt, claim(number)))

    private fun CompanionHarness.answer(attempt: AttemptId) = report(attempt, UpstreamReport.Answered(ANSWER))

    private fun CompanionHarness.fail(attempt: AttemptId, execution: Execution) =
        report(attempt, failed(FaultCause.CONNECTION_LOST, execution))

    private fun CompanionHarness.cancel() = receive(PeerMessage.Cancel(first))

    /** Fills every worker slot from a connection that stays open. */
    private fun CompanionHarness.fillWorkers() {
        connect(OTHER_ENTRY)
        for (number in 101..102) receive(startPlain(attempt(number)), OTHER_ENTRY)
    }

    private fun CompanionHarness.freeWorkers() {
        for (number in 101..102) report(attempt(number), UpstreamReport.Answered(ANSWER))
    }

    private fun CompanionHarness.reconnect() {
        disconnect()
        connect()
    }

    private fun CompanionHarness.startsOfKey(): Int = effects.filterIsInstance<CompanionEffect.StartCall>()
        .count { (it.call as UpstreamCall.Plain).idempotencyKey != null }

    private fun List<CompanionEffect>.storeRequests() = filterIsInstance<CompanionEffect.CallStore>().map { it.request }

    /** Advances time until an answer is written; other store calls are answered with no new notes. */
    private fun CompanionHarness.advanceTimeUntilWrite(): List<CompanionEffect> {
        repeat(MAXIMUM_WAIT_STEPS) {
            val effects = advanceTime(STEP)
            val (writes, others) = effects.partition {
                (it as? CompanionEffect.CallStore)?.request is StoreRequest.Replace
            }
            answerStore(others, found(emptyList()))
            if (writes.isNotEmpty()) return writes
        }
        error("no write")
    }

    private companion object {
        val STEP: Duration = 100.milliseconds
        const val MAXIMUM_WAIT_STEPS = 100
        val VOIDED = ClaimState.VOIDED
    }
}
