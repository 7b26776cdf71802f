package org.lovageladder.core

/** A claim on whose outcome the companion on [host] is to report. */
internal data class WatchedClaim(val host: HostName, val storeKey: String, val number: Long)

/** Progress of a non-idempotent call. */
internal sealed interface NonIdempotentCallState {
    data object Idle : NonIdempotentCallState

    /** The key-value service was called; nothing was sent to a companion under the new claim number. */
    data object Claiming : NonIdempotentCallState

    /** The call was sent under this request's claim; [attempt] is null once its connection is lost. */
    data class Started(val record: ClaimRecord, val revision: Long, val attempt: Attempt?) : NonIdempotentCallState

    /** Another submission holds the claim; [isReportedRunning] once the companion reports its call as started. */
    data class Following(val record: ClaimRecord, val revision: Long, val isReportedRunning: Boolean = false) :
        NonIdempotentCallState

    /** The deadline passed and the companion was asked to void the claim. */
    data class Voiding(val record: ClaimRecord, val revision: Long) : NonIdempotentCallState

    data object Finished : NonIdempotentCallState

    val isFollowing: Boolean get() = this is Following
}
