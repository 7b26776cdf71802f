package org.lovageladder.core.forward

import kotlin.time.Duration

/** The lease [id] that the registry granted in [epoch]; in another epoch the same id may belong to another process. */
public data class RegistryLease(val id: Long, val epoch: Long)

/** Port to the registry in which entries register, so that each can count them. */
public interface EntryRegistrationPort {
    /**
     * Registers this entry for [period]. [answer] gets the lease of the registration, or null when the outcome is
     * unknown.
     */
    public fun register(period: Duration, answer: (RegistryLease?) -> Unit)

    /** Extends [lease] by its period. [answer] gets whether the lease was still valid. */
    public fun renew(lease: RegistryLease, answer: (Boolean) -> Unit)
}

/**
 * Keeps this entry registered under a lease of [period]. A renewed lease does not show that the registration is still
 * there: an earlier one that was done late may have replaced it and lapsed. So the entry also registers again when
 * [isMissing] tells at a renewal that the registry does not list it. Confined to one thread.
 */
public class EntryRegistrar(
    private val port: EntryRegistrationPort,
    private val scheduler: Scheduler,
    private val period: Duration,
    private val isMissing: () -> Boolean = { false },
) {
    private var registrations = 0

    /** Registers this entry and keeps renewing the lease. Must be called once. */
    public fun start(): Unit = register()

    /** The registry was restored from an older copy, which may not hold the registration or its lease. */
    public fun onRegistryRestored(): Unit = register()

    private fun register() {
        registrations += 1
        val number = registrations
        port.register(period) { lease ->
            when {
                number != registrations -> Unit
                lease == null -> scheduler.schedule(period * RETRY_FRACTION) { if (number == registrations) register() }
                else -> scheduleRenewal(lease, number)
            }
        }
    }

    /** Renews [lease] of registration [number] until another registration replaces it. */
    private fun scheduleRenewal(lease: RegistryLease, number: Int) {
        scheduler.schedule(period * RENEWAL_FRACTION) {
            if (number != registrations) return@schedule
            port.renew(lease) { isExtended ->
                when {
                    number != registrations -> Unit
                    isExtended && !isMissing() -> scheduleRenewal(lease, number)
                    else -> register()
                }
            }
        }
    }

    private companion object {
        const val RENEWAL_FRACTION = 0.4
        const val RETRY_FRACTION = 0.2
    }
}
