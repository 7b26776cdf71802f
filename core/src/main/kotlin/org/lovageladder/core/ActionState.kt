package org.lovageladder.core

/** A claim whose end is awaited from the companion on [host]. */
internal data class WatchedClaim(val host: HostName, val storeKey: String, val number: Long)

/** Where a non-idempotent request stands. */
internal sealed interface ActionState {
    data object Idle : ActionState

    /** The key-value service was asked; nothing was sent to a companion under the number asked for. */
    data object Claiming : ActionState

    /** The call was sent under our claim; [attempt] is null while the connection that carried it is gone. */
    data class Started(val record: ClaimRecord, val revision: Long, val attempt: Attempt?) : ActionState

    /** Another submission's claim stands; [heard] once its companion said that it runs. */
    data class Following(val record: ClaimRecord, val revision: Long, val heard: Boolean = false) : ActionState

    /** The deadline passed and the companion was asked to forbid the start. */
    data class Voiding(val record: ClaimRecord, val revision: Long) : ActionState

    data object Over : ActionState

    val isFollowing: Boolean get() = this is Following
}
