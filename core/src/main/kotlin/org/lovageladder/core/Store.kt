package org.lovageladder.core

import kotlin.time.Duration

/*
 * The platform's key-value service as the system uses it. Each request costs one call of the service.
 */

/** A key with its value and the revision at which it was last written. */
public data class StoredEntry(val key: String, val value: String, val revision: Long)

/** A key and the value to write. */
public data class StoreWrite(val key: String, val value: String)

/** One call of the key-value service. */
public sealed interface StoreRequest {
    /** Creates all of [writes] when none of their keys exists, else nothing. */
    public data class Create(val writes: List<StoreWrite>, val lease: Long? = null) : StoreRequest

    /** Replaces a value that was last written at [expectedRevision]. */
    public data class Replace(val write: StoreWrite, val expectedRevision: Long) : StoreRequest

    /** Reads one key. */
    public data class Read(val key: String) : StoreRequest

    /** Reads at most [limit] keys that begin with [prefix] and sort after [after]. */
    public data class ReadAfter(val prefix: String, val after: String, val limit: Int = 256) : StoreRequest

    /** Obtains a lease that expires [timeToLive] after its last renewal. */
    public data class GrantLease(val timeToLive: Duration) : StoreRequest

    /** Renews a lease. */
    public data class RenewLease(val lease: Long) : StoreRequest
}

/** Answer to a [StoreRequest]. */
public sealed interface StoreAnswer {
    /** The write took effect at [revision]. */
    public data class Written(val revision: Long) : StoreAnswer

    /** The write did not take effect; [current] are the present entries of its keys. */
    public data class Conflict(val current: List<StoredEntry>) : StoreAnswer

    /** Entries found, in order of key. */
    public data class Found(val entries: List<StoredEntry>) : StoreAnswer

    /** The lease is valid for [timeToLive] from the moment the request was sent. */
    public data class Leased(val lease: Long, val timeToLive: Duration) : StoreAnswer

    /** No answer arrived: a write may or may not have taken effect. */
    public data class Unavailable(val fault: Fault) : StoreAnswer
}

/** Port to the key-value service. Calls don't block; [answer] is called once, on any thread. */
public interface KeyValueStore : AutoCloseable {
    /** Sends [request]; answers [StoreAnswer.Unavailable] when no answer arrives within [timeout]. */
    public fun call(request: StoreRequest, timeout: Duration, answer: (StoreAnswer) -> Unit)

    /**
     * Calls [changed] with each entry that is written under [prefix] after the watch is established, until the returned
     * handle is closed. [ended] is called once when the watch fails; it is not re-established.
     */
    public fun watch(prefix: String, changed: (StoredEntry) -> Unit, ended: (Fault) -> Unit): AutoCloseable
}

/** Key of the release note [version]. Keys sort by version. */
public fun noteStoreKey(version: ReleaseVersion): String =
    NOTE_PREFIX + version.number.toString().padStart(NOTE_KEY_DIGITS, '0')

private const val NOTE_KEY_DIGITS = 20

/** Prefix of the keys of release notes. */
public const val NOTE_PREFIX: String = "notes/"

/** Key of the claim for [key] of [service]. */
public fun claimStoreKey(service: ServiceName, key: IdempotencyKey): String = "claims/$service/$key"
