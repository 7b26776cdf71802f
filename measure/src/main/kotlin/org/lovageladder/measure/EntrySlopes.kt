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
private const val BATCH_REQUESTS = 50
private const val BATCHES = 20
private val SETTLING = 5.seconds

/** Measures an idle entry connected to [companions] companions over [length] of virtual time. */
internal fun measureIdleEntry(companions: Int, length: Duration): IdleCost {
    val heapBefore = usedHeapBytes()
    val entry = startEntry(companions)
    val heapBytes = usedHeapBytes() - heapBefore
    val before = EntryReading(entry)
    entry.pass(length)
    val after = EntryReading(entry)
    val seconds = length.toDouble(DurationUnit.SECONDS)
    return IdleCost(
        size = companions,
        handlingMicroseconds = (after.handling - before.handling) / seconds,
        codingMicroseconds = (after.coding - before.coding) / seconds,
        messagesOut = (after.messagesOut - before.messagesOut) / seconds,
        messagesIn = (after.messagesIn - before.messagesIn) / seconds,
        bytesOut = (after.bytesOut - before.bytesOut) / seconds,
        bytesIn = (after.bytesIn - before.bytesIn) / seconds,
        heapBytes = heapBytes,
    )
}

/** Measures requests of [kind] at an entry with [companions] companions, in batches of [BATCH_REQUESTS] at once. */
internal fun measureRequests(kind: RequestKind, companions: Int): RequestCost {
    val entry = startEntry(companions)
    val readings = (0..BATCHES).map { batch ->
        if (batch > 0) entry.submit(List(BATCH_REQUESTS) { submission(kind) })
        EntryReading(entry)
    }
    checkOutcomes(kind, entry)
    fun perRequest(figure: (EntryReading) -> Double) = fitLine(
        readings.mapIndexed { batch, reading ->
            Sample((batch * BATCH_REQUESTS).toDouble(), figure(reading))
        },
    ).slope
    return RequestCost(
        kind = kind,
        companions = companions,
        requests = BATCHES * BATCH_REQUESTS,
        handlingMicroseconds = perRequest { it.handling },
        codingMicroseconds = perRequest { it.coding },
        bytesOut = perRequest { it.bytesOut },
        bytesIn = perRequest { it.bytesIn },
    )
}

private fun startEntry(companions: Int): MeasuredEntry {
    val companion = FakeCompanion(OUTPUT_TOKENS)
    val entry = MeasuredEntry(companion::answer)
    entry.start(Fleet(companions))
    entry.pass(SETTLING)
    check(entry.connected == companions) { "${entry.connected} of $companions companions are connected" }
    return entry
}

private fun checkOutcomes(kind: RequestKind, entry: MeasuredEntry) {
    val requests = BATCHES * BATCH_REQUESTS
    val served = entry.outcomes.count { it is Outcome.Generated || it is Outcome.Answered }
    check(served == requests) { "$served of $requests requests were served: ${entry.outcomes.last()}" }
    val expected = if (kind == RequestKind.GENERATION) requests * OUTPUT_TOKENS else 0
    check(entry.tokens == expected) { "${entry.tokens} tokens were given, not $expected" }
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

private class EntryReading(entry: MeasuredEntry) {
    val handling = entry.handling.nanoseconds / NANOSECONDS_PER_MICROSECOND
    val coding = entry.coding.nanoseconds / NANOSECONDS_PER_MICROSECOND
    val messagesOut = entry.sent.messages.toDouble()
    val messagesIn = entry.received.messages.toDouble()
    val bytesOut = entry.sent.bytes.toDouble()
    val bytesIn = entry.received.bytes.toDouble()
}
