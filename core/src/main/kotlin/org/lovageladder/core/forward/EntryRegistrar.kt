package org.lovageladder.core.forward

import kotlin.time.Duration

/** Port to the registry in which entries register, so that each can count them. */
public interface EntryRegistrationPort {
    /**
     * Registers this entry for [period]. [answer] gets the lease of the registration, or null when the outcome is
     * unknown.
     */
    public fun register(period: Duration, answer: (Long?) -> Unit)

    /** Extends [lease] by its period. [answer] gets whether the lease was still valid. */
    public fun renew(lease: Long, answer: (Boolean) -> Unit)
}

/** Keeps this entry registered under a lease of [period]. Confined to one thread. */
public class EntryRegistrar(
    private val port: EntryRegistrationPort,
    private val scheduler: Scheduler,
    private val period: Duration,
) {
    /** Registers this entry and keeps renewing the lease. Must be called once. */
    public fun start() {
        port.register(period) { lease ->
            if (lease == null) scheduler.schedule(period * RETRY_FRACTION) { start() } else scheduleRenewal(lease)
        }
    }

    private fun scheduleRenewal(lease: Long) {
        scheduler.schedule(period * RENEWAL_FRACTION) {
            port.renew(lease) { extended -> if (extended) scheduleRenewal(lease) else start() }
        }
    }

    private companion object {
        const val RENEWAL_FRACTION = 0.4
        const val RETRY_FRACTION = 0.2
    }
}
