package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.time.Duration

/**
 * What one stream asked for and used, for the line that tells its end: sizes in tokens, events, times, and the memory
 * pool as it was when the stream first asked for memory. Confined to one thread.
 */
internal class StreamAccount(
    private val request: ForwardRequest,
    private val time: RequestTime,
    private val route: Route,
) {
    private val counter = EventCounter()
    private var claimedAt: Moment? = null
    private var poolAtClaim: PoolState? = null
    private var waited = Duration.ZERO
    private var grantedAt: Moment? = null
    private var firstEventAt: Moment? = null

    /** Tokens of memory that it asked for last. */
    var claimedTokens: Int = 0
        private set

    /** When it was last sent to a decode engine. */
    var decodingSince: Moment? = null
        private set

    /** Events that were received, over all engines. */
    val events: Int get() = counter.events

    /** The stream asks for memory for [tokens] from a pool in [state]. */
    fun claims(tokens: Int, state: PoolState, now: Moment) {
        claimedTokens = tokens
        claimedAt = now
        if (poolAtClaim == null) poolAtClaim = state
    }

    /** The stream got its memory. */
    fun granted(now: Moment) {
        waited += waitUntil(now)
        claimedAt = null
        grantedAt = now
    }

    /** The stream was sent to a decode engine. */
    fun sentToDecode(now: Moment) {
        decodingSince = now
    }

    /** Takes in [bytes] of the stream; returns the time from the grant of memory when they are its first. */
    fun received(bytes: ByteArray, now: Moment): Duration? {
        counter.add(bytes)
        if (firstEventAt != null) return null
        firstEventAt = now
        return grantedAt?.let { now - it }
    }

    /** The line that tells the end of the stream. */
    fun describe(outcome: String, sendings: Int, now: Moment): String {
        val size = request.generation
        val pool = poolAtClaim
        return "$outcome route=${route.name} sendings=$sendings first=${milliseconds(firstEventAt)}ms " +
            "took=${milliseconds(now)}ms waited=${(waited + waitUntil(now)).inWholeMilliseconds}ms " +
            "wait=${request.wait?.inWholeMilliseconds}ms prompt=${size?.promptTokens} " +
            "bound=${size?.outputBound} expected=${size?.expectedOutputTokens} reserved=$claimedTokens " +
            "events=$events held=${pool?.heldTokens} waiting=${pool?.waiting} full=${pool?.fullEngines}"
    }

    private fun waitUntil(now: Moment): Duration = claimedAt?.let { now - it } ?: Duration.ZERO

    private fun milliseconds(moment: Moment?) = moment?.let { (it - time.arrived).inWholeMilliseconds }
}
