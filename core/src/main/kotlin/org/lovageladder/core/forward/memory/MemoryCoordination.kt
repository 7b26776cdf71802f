package org.lovageladder.core.forward.memory

import org.lovageladder.core.PlaceName
import org.lovageladder.core.ProcessName
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.EngineConfiguration
import org.lovageladder.core.forward.EntryCounter
import org.lovageladder.core.forward.ForwardConfiguration
import org.lovageladder.core.forward.ForwardContext
import org.lovageladder.core.forward.messaging.MemoryAnswer
import org.lovageladder.core.forward.messaging.MemoryDemand
import org.lovageladder.core.forward.messaging.MemoryMessage
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Who decides on decode memory: [self] is the name of this process, [place] its data centre. With at least
 * [fromEntries] registered entries, unless that is 0, or with customers in the configuration, one entry coordinates the
 * memory of a service.
 */
internal class MemoryCoordinationSettings(val self: ProcessName, val place: PlaceName, val fromEntries: Int)

/**
 * Coordination of decode memory for all services: the client side of this process, and the coordinator of the services
 * that it owns. Confined to one thread.
 */
internal class MemoryCoordination(
    private val context: ForwardContext,
    private val settings: MemoryCoordinationSettings,
    private val entryCounter: EntryCounter,
    private val configuration: () -> ForwardConfiguration?,
) {
    private val capacity =
        UpstreamCapacity(
            costFactor = { context.upstreamSelector.capacity?.costFactor(it, context.now()) ?: 1.0 },
            usableShare = { context.upstreamSelector.capacity?.usableShare(it, context.now()) ?: 1.0 },
        )
    private val memories = HashMap<ServiceName, CoordinatedMemory>()
    private val coordinators = HashMap<ServiceName, MemoryCoordinator>()

    /** Number of engines of which state is kept. */
    val trackedEngines: Int get() = memories.values.sumOf { it.trackedEngines }

    /** Services whose coordinator does not answer this process. */
    val silentCoordinators: Int get() = memories.values.count { it.hasFallenBack }

    /** Requests of all entries that wait at this process. */
    val waitingRequests: Int get() = coordinators.values.sumOf { it.waitingRequests }

    /** Tokens that all entries hold, of the services that this process coordinates. */
    val heldTokens: Int get() = coordinators.values.sumOf { it.heldTokens }

    /** Memory of [service]. */
    fun memoryOf(service: ServiceName): DecodeMemory = memories.getOrPut(service) {
        CoordinatedMemory(
            context = context,
            service = service,
            place = settings.place,
            engineConfiguration = { engineOf(service) },
            coordinator = { coordinatorOf(service) },
            send = ::send,
            firstId = Random.nextLong() and FIRST_ID_BITS,
        )
    }

    /** Tokens that this process holds at engine [name] of [service]. */
    fun heldTokensAt(service: ServiceName, name: UpstreamName): Int = memories[service]?.heldTokensAt(name) ?: 0

    /** Drops the state of upstreams that left, and notices a change of coordinators. */
    fun onRegistryChange(): Unit = memories.values.forEach {
        it.removeUnregistered()
        it.checkCoordinator()
    }

    /**
     * Processes [message] of [sender]. An entry that sees another coordinator than this process does is served too: it
     * knows the registry earlier or later than this one.
     */
    fun onMessage(sender: ProcessName, message: MemoryMessage) {
        when (message) {
            is MemoryDemand -> coordinatorFor(message.service)?.onMessage(sender, message)
            is MemoryAnswer -> memories[message.service]?.onMessage(sender, message)
        }
    }

    private fun coordinatorFor(service: ServiceName): MemoryCoordinator? {
        coordinators[service]?.let { return it }
        if (engineOf(service) == null) return null
        val created = MemoryCoordinator(context, service, { engineOf(service) }, capacity, ::send)
        coordinators[service] = created
        return created
    }

    private fun engineOf(service: ServiceName): EngineConfiguration? = configuration()?.services?.get(service)?.engine

    /** The coordinator of [service], null when memory is not coordinated. */
    private fun coordinatorOf(service: ServiceName): ProcessName? {
        val hasCustomers = configuration()?.customers != null
        val isLarge = settings.fromEntries > 0 && entryCounter.count(context.now()) >= settings.fromEntries
        return if (hasCustomers || isLarge) entryCounter.owner("memory/$service") else null
    }

    /** Messages to this process itself come by the same way as others, but not through the network. */
    private fun send(recipient: ProcessName, message: MemoryMessage) {
        if (recipient == settings.self) {
            context.scheduler.schedule(Duration.ZERO) { onMessage(settings.self, message) }
        } else {
            context.messages.send(recipient, message)
        }
    }

    private companion object {
        /** The first ids of two starts are at least 2^32 apart, which is more than a process needs. */
        const val FIRST_ID_BITS = 0x7FFF_FFFF_0000_0000L
    }
}
