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

    /** What a void says, and how often the action was started in the end although its start message follows. */
    @Test
    fun aVoidedNumberNeverStartsAndAStartedOneIsNeverCalledVoided() {
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
            Row("refused in time", { fillWorkers().also { start(first, 1) }.also { pass(1.seconds) } }, 1, VOIDED, 0),
            Row("cancelled waiting", { fillWorkers().also { start(first, 1) }.also { cancel() } }, 1, VOIDED, 0),
            Row("owner lost, waiting", { fillWorkers().also { start(first, 1) }.also { lose() } }, 1, VOIDED, 0),
            Row("owner lost, running", { start(first, 1).also { lose() } }, 1, ClaimState.STARTED, 1),
            Row("cancelled, running", { start(first, 1).also { cancel() } }, 1, ClaimState.STARTED, 1),
        )
        for (row in rows) {
            val bench = bench()
            row.before(bench)
            val status = bench.receive(PeerMessage.VoidClaim(KEY, row.number)).sent<PeerMessage.ClaimStatus>().last()
            assertEquals(row.state, status.state, row.name)
            assertEquals(if (row.state == ClaimState.ANSWERED) ANSWER else null, status.answer, row.name)
            bench.freeWorkers()
            bench.start(attempt(9), row.number)
            assertEquals(row.starts, bench.startsOfKey(), row.name)
        }
    }

    /** An upstream that keeps one highest number over all keys would refuse every fresh key after a contested one. */
    @Test
    fun theNumberOfAClaimOrdersOnlyItsOwnKeyAndIsNotSentAsFencingNumber() {
        val bench = bench()
        val contested = bench.receive(startPlain(first, claim(17, "contested")))
        val fresh = bench.receive(startPlain(second, claim(1, "fresh")))
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
            val bench = bench()
            bench.receive(startPlain(attempt(10), claim(3, "started")))
            bench.receive(PeerMessage.VoidClaim("voided", 3))
            val effects = bench.receive(startPlain(first, claim))
            assertEquals(cause, effects.sent<PeerMessage.Refused>().single().fault.cause, name)
            assertEquals(0, effects.count { it is CompanionEffect.StartCall }, name)
        }
    }

    @Test
    fun aTakeoverAfterTheVoidStartsUnderItsHigherNumber() {
        val bench = bench()
        bench.receive(PeerMessage.VoidClaim(KEY, 1))
        bench.start(first, 1)
        bench.start(second, 2)
        assertEquals(1, bench.startsOfKey())
    }

    @Test
    fun aRefusedSecondStartOfAStartedKeyIsPrecededByItsStatus() {
        val bench = bench()
        bench.start(first, 1)
        val sent = bench.start(second, 1).messages()
        assertEquals(ClaimState.STARTED, (sent[0] as PeerMessage.ClaimStatus).state)
        assertEquals(second, (sent[1] as PeerMessage.Refused).attempt)
    }

    @Test
    fun aFollowerIsToldTheStateNowAndTheEnd() {
        val ends = listOf<Pair<CompanionHarness.() -> Unit, ClaimState>>(
            Pair({ answer(first) }, ClaimState.ANSWERED),
            Pair({ fail(first, Execution.UNKNOWN) }, ClaimState.LOST),
            Pair({ fail(first, Execution.NOT_RUN) }, ClaimState.VOIDED),
        )
        for ((end, state) in ends) {
            val bench = bench().also { it.connect(OTHER_ENTRY) }
            bench.start(first, 1)
            bench.receive(PeerMessage.FollowClaim(KEY, 1), OTHER_ENTRY)
            bench.end()
            val told = bench.effects.messages(OTHER_ENTRY).filterIsInstance<PeerMessage.ClaimStatus>()
            assertEquals(listOf(ClaimState.STARTED, state), told.map { it.state })
        }
    }

    @Test
    fun aNumberThatMayStillStartIsNotCalledVoidedToAFollower() {
        val bench = bench()
        bench.receive(PeerMessage.VoidClaim(KEY, 1))
        assertEquals(emptyList(), bench.receive(PeerMessage.FollowClaim(KEY, 2)).messages())
        assertEquals(ClaimState.STARTED, bench.start(first, 2).sent<PeerMessage.ClaimStatus>().single().state)
    }

    @Test
    fun aRunningClaimedCallOutlivesItsEntryAndAnUnclaimedOneDoesNot() {
        val bench = bench()
        bench.start(first, 1)
        bench.receive(startPlain(second))
        val cancelled = bench.disconnect().filterIsInstance<CompanionEffect.CancelCall>()
        assertEquals(listOf(second), cancelled.map { it.attempt })
    }

    @Test
    fun theAnswerIsWrittenUntilTheStoreHasIt() {
        val bench = bench()
        bench.start(first, 1)
        var effects = bench.answer(first)
        val replace = effects.asked().single() as StoreRequest.Replace
        assertEquals(claim().revision, replace.expectedRevision)
        assertEquals(
            claim().record.copy(answer = ANSWER),
            Json.decodeFromString(ClaimRecord.serializer(), replace.write.value),
        )
        val gaps = (1..8).map {
            bench.answerStore(effects, unavailable())
            val from = bench.now
            effects = bench.passUntilWrite()
            bench.now - from
        }
        assertEquals(listOf(100, 200, 400, 800, 1600, 3200, 5000, 5000).map { it.milliseconds }, gaps)
        val stored = StoredEntry(KEY, replace.write.value, 50)
        bench.answerStore(effects, StoreAnswer.Conflict(listOf(stored)))
        assertEquals(0, bench.pass(1.minutes).asked().count { it is StoreRequest.Replace })
        assertTrue(EventKind.CLAIM_UNKNOWN !in bench.effects.recorded())
    }

    @Test
    fun anAnswerThatMeetsAnotherClaimIsReported() {
        val bench = bench()
        bench.start(first, 1)
        val effects = bench.answerStore(bench.answer(first), StoreAnswer.Conflict(emptyList()))
        assertTrue(EventKind.CLAIM_UNKNOWN in effects.recorded())
    }

    @Test
    fun aLostClaimIsNeverForgottenWhileAnAnsweredOneIs() {
        val bench = bench()
        bench.start(first, 1)
        bench.fail(first, Execution.UNKNOWN)
        bench.receive(startPlain(second, claim(1, "other")))
        bench.answerStore(bench.answer(second), StoreAnswer.Written(50))
        bench.disconnect()
        bench.pass(61.minutes)
        assertEquals(1, bench.companion.status(bench.now).startedClaims)
        bench.connect()
        val status = bench.receive(PeerMessage.VoidClaim(KEY, 1)).sent<PeerMessage.ClaimStatus>().single()
        assertEquals(ClaimState.LOST, status.state)
    }

    private fun bench() = CompanionHarness().makeReady().also { it.connect() }

    private fun CompanionHarness.start(attempt: AttemptId, number: Long) = receive(startPlain(attempt, claim(number)))

    private fun CompanionHarness.answer(attempt: AttemptId) = report(attempt, UpstreamReport.Answered(ANSWER))

    private fun CompanionHarness.fail(attempt: AttemptId, execution: Execution) =
        report(attempt, failed(FaultCause.CONNECTION_LOST, execution))

    private fun CompanionHarness.cancel() = receive(PeerMessage.Cancel(first))

    /** Takes every worker slot, on a connection that stays. */
    private fun CompanionHarness.fillWorkers() {
        connect(OTHER_ENTRY)
        for (number in 101..102) receive(startPlain(attempt(number)), OTHER_ENTRY)
    }

    private fun CompanionHarness.freeWorkers() {
        for (number in 101..102) report(attempt(number), UpstreamReport.Answered(ANSWER))
    }

    private fun CompanionHarness.lose() {
        disconnect()
        connect()
    }

    private fun CompanionHarness.startsOfKey(): Int = effects.filterIsInstance<CompanionEffect.StartCall>()
        .count { (it.call as UpstreamCall.Plain).idempotencyKey != null }

    private fun List<CompanionEffect>.asked() = filterIsInstance<CompanionEffect.AskStore>().map { it.request }

    /** Passes time until an answer is written, answering other calls of the store with nothing new. */
    private fun CompanionHarness.passUntilWrite(): List<CompanionEffect> {
        repeat(LONGEST_WAIT_STEPS) {
            val effects = pass(STEP)
            val (writes, others) = effects.partition {
                (it as? CompanionEffect.AskStore)?.request is StoreRequest.Replace
            }
            answerStore(others, found(emptyList()))
            if (writes.isNotEmpty()) return writes
        }
        error("no write")
    }

    private companion object {
        val STEP: Duration = 100.milliseconds
        const val LONGEST_WAIT_STEPS = 100
        val VOIDED = ClaimState.VOIDED
    }
}
