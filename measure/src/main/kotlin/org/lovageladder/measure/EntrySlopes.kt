package org.lovageladder.measure

import org.lovageladder.core.Outcome
import org.lovageladder.core.RequestContent
import org.lovageladder.core.Submission
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val NANOSECONDS_PER_MICROSECOND = 1e3
private const val OUTPUT_TOKENS = 50
private const val PROMPT_TOKENS = 200
private const val REQUESTS_PER_BATCH = 50
private const val BATCH_COUNT = 20
private val SETTLING_TIME = 5.seconds

/** Measures an idle entry connected to [companions] companions over [duration] of virtual time. */
internal fun measureIdleEntry(companions: Int, duration: Duration): IdleCost {
    val heapBefore = usedHeapBytes()
    val entry = startEntry(companions)
    val heapBytes = usedHeapBytes() - heapBefore
    val before = MeterSnapshot(entry)
    entry.advance(duration)
    val after = MeterSnapshot(entry)
    val seconds = duration.toDouble(DurationUnit.SECONDS)
    return IdleCost(
        size = companions,
        handlingMicroseconds = (after.handlingMicroseconds - before.handlingMicroseconds) / seconds,
        codingMicroseconds = (after.codingMicroseconds - before.codingMicroseconds) / seconds,
        messagesOut = (after.messagesOut - before.messagesOut) / seconds,
        messagesIn = (after.messagesIn - before.messagesIn) / seconds,
        bytesOut = (after.bytesOut - before.bytesOut) / seconds,
        bytesIn = (after.bytesIn - before.bytesIn) / seconds,
        heapBytes = heapBytes,
    )
}

/** Measures requests of [kind] at an entry with [companions] companions, in batches of [REQUESTS_PER_BATCH] at once. */
internal fun measureRequests(kind: RequestKind, companions: Int): RequestCost {
    val entry = startEntry(companions)
    val snapshots = (0..BATCH_COUNT).map { batch ->
        if (batch > 0) entry.submit(List(REQUESTS_PER_BATCH) { submission(kind) })
        MeterSnapshot(entry)
    }
    checkOutcomes(kind, entry)
    fun perRequest(value: (MeterSnapshot) -> Double) = fitLine(
        snapshots.mapIndexed { batch, snapshot ->
            Sample((batch * REQUESTS_PER_BATCH).toDouble(), value(snapshot))
        },
    ).slope
    return RequestCost(
        kind = kind,
        companions = companions,
        requests = BATCH_COUNT * REQUESTS_PER_BATCH,
        handlingMicroseconds = perRequest { it.handlingMicroseconds },
        codingMicroseconds = perRequest { it.codingMicroseconds },
        bytesOut = perRequest { it.bytesOut },
        bytesIn = perRequest { it.bytesIn },
    )
}

private fun startEntry(companions: Int): MeasuredEntry {
    val companion = FakeCompanion(OUTPUT_TOKENS)
    val entry = MeasuredEntry(companion::answersTo)
    entry.start(Fleet(companions))
    entry.advance(SETTLING_TIME)
    check(entry.connectedCompanions == companions) {
        "${entry.connectedCompanions} of $companions companions are connected"
    }
    return entry
}

private fun checkOutcomes(kind: RequestKind, entry: MeasuredEntry) {
    val requests = BATCH_COUNT * REQUESTS_PER_BATCH
    val answered = entry.outcomes.count { it is Outcome.Generated || it is Outcome.Answered }
    check(answered == requests) { "$answered of $requests requests were answered: ${entry.outcomes.last()}" }
    val expected = if (kind == RequestKind.GENERATION) requests * OUTPUT_TOKENS else 0
    check(entry.tokenCount == expected) { "${entry.tokenCount} tokens were sent to callers instead of $expected" }
}

private fun submission(kind: RequestKind): Submission = when (kind) {
    RequestKind.GENERATION -> Submission(Fleet.GENERATION_SERVICE, null, null, generation())
    RequestKind.LOOKUP -> Submission(Fleet.LOOKUP_SERVICE, null, null, lookup())
}

private fun generation() = RequestContent.Generation(
    path = "/v1/completions",
    body = """{"model":"lesson-lm","prompt":"${"abc ".repeat(PROMPT_TOKENS)}","max_tokens":$OUTPUT_TOKENS}""",
    promptTokens = PROMPT_TOKENS,
    outputTokens = OUTPUT_TOKENS,
    prefixDigest = 1,
)

private fun lookup() = RequestContent.Plain("POST", "/schedule", "application/json", """{"week":3}""", "a1b2c3")

private class MeterSnapshot(entry: MeasuredEntry) {
    val handlingMicroseconds = entry.handlingTime.nanoseconds / NANOSECONDS_PER_MICROSECOND
    val codingMicroseconds = entry.codingTime.nanoseconds / NANOSECONDS_PER_MICROSECOND
    val messagesOut = entry.sentTraffic.messages.toDouble()
    val messagesIn = entry.receivedTraffic.messages.toDouble()
    val bytesOut = entry.sentTraffic.bytes.toDouble()
    val bytesIn = entry.receivedTraffic.bytes.toDouble()
}
