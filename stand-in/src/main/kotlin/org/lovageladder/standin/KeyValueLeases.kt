package org.lovageladder.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Leases of the key-value service; revoking or expiring a lease deletes the keys attached to it. */
internal class KeyValueLeases(private val thread: EventLoopThread, private val store: KeyValueStore) {
    private val leases = HashMap<Long, GrantedLease>()
    private var nextId = FIRST_ID

    fun grant(request: LeaseGrantRequest): LeaseResponse {
        if (request.timeToLiveSeconds < 1) {
            throw KeyValueRefused.invalid("etcdserver: TTL is ${request.timeToLiveSeconds}, allowed is 1 or more")
        }
        if (request.id in leases) {
            throw KeyValueRefused.invalid("etcdserver: lease already exists")
        }
        val id = if (request.id != 0L) request.id else nextId++
        val lease = GrantedLease(id, request.timeToLiveSeconds)
        leases[id] = lease
        extend(lease)
        return LeaseResponse(store.header(), id, lease.timeToLiveSeconds)
    }

    fun revoke(id: Long): LeaseRevokeResponse {
        val lease = leases[id] ?: throw notFound()
        lease.timer?.cancel()
        remove(lease)
        return LeaseRevokeResponse(store.header())
    }

    /** Extends the lease by its full time to live; the answer has no time to live when the lease doesn't exist. */
    fun keepAlive(id: Long): LeaseResponse {
        val lease = leases[id] ?: return LeaseResponse(store.header(), id)
        extend(lease)
        return LeaseResponse(store.header(), id, lease.timeToLiveSeconds)
    }

    /** The remaining time to live of a lease; -1 when it has expired or never existed. */
    fun timeToLive(request: LeaseRequest): LeaseResponse {
        val lease = leases[request.id] ?: return LeaseResponse(store.header(), request.id, EXPIRED_TIME_TO_LIVE)
        return LeaseResponse(
            header = store.header(),
            id = lease.id,
            timeToLiveSeconds = (lease.expiresAt - thread.now()).inWholeSeconds,
            grantedSeconds = lease.timeToLiveSeconds,
            keys = if (request.keys) attachedKeys(lease) else emptyList(),
        )
    }

    /** Throws [KeyValueRefused] when a put names a lease that doesn't exist. */
    fun requireLease(put: PutRequest) {
        if (put.lease != 0L && put.lease !in leases) {
            throw notFound()
        }
    }

    /** Records that [key] is attached to [lease]; does nothing when that is 0, as no lease has this id. */
    fun attach(key: String, lease: Long) {
        leases[lease]?.keys?.add(key)
    }

    private fun extend(lease: GrantedLease) {
        lease.timer?.cancel()
        lease.expiresAt = thread.now() + lease.timeToLiveSeconds.seconds
        lease.timer = thread.schedule(lease.timeToLiveSeconds.seconds) { remove(lease) }
    }

    private fun remove(lease: GrantedLease) {
        leases.remove(lease.id)
        val keys = attachedKeys(lease)
        store.commit { keys.forEach { deleteRange(DeleteRangeRequest(it)) } }
    }

    private fun attachedKeys(lease: GrantedLease) = lease.keys.filter { store.get(it)?.lease == lease.id }

    private fun notFound() = KeyValueRefused.notFound("etcdserver: requested lease not found")

    private class GrantedLease(val id: Long, val timeToLiveSeconds: Long) {
        val keys = LinkedHashSet<String>()
        var expiresAt: Duration = Duration.ZERO
        var timer: Timer? = null
    }

    private companion object {
        const val FIRST_ID = 7_587_000_000_000_000_001L
        const val EXPIRED_TIME_TO_LIVE = -1L
    }
}
