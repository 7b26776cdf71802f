package org.lovageladder.client

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import kotlinx.serialization.Serializable
import org.lovageladder.core.Address
import org.lovageladder.core.Fault
import org.lovageladder.core.HostName
import org.lovageladder.core.ReleaseEntry
import org.lovageladder.core.ReleaseState
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** A process of the system to ask; [host] is null when only its address was given. */
internal data class Target(val address: Address, val host: ReleaseEntry.Host?) {
    override fun toString(): String = if (host == null) "$address" else "${host.name} ($address)"
}

/** Process that did not answer. */
@Serializable
internal data class Unanswered(val address: Address, val host: HostName?, val fault: Fault) {
    override fun toString(): String = "${host ?: address}: $fault"
}

/** What the processes that answered gave, and those that did not answer. */
internal data class Answers<T>(val given: List<Answer<T>>, val unanswered: List<Unanswered>)

/** Answer of one process. */
internal data class Answer<T>(val target: Target, val value: T)

/** Targets named by [addresses], or without any the processes on all hosts of [release]. */
internal fun targets(addresses: List<Address>, release: ReleaseState): List<Target> {
    val hosts = release.hosts.values.sortedBy { it.name.text }
    if (addresses.isEmpty()) return hosts.map { Target(it.adminAddress, it) }
    return addresses.map { address -> Target(address, hosts.find { it.adminAddress == address }) }
}

/** Asks all [targets], at most [PARALLEL_CALLS] at a time; answers keep the order of the targets. */
internal fun <T> askAll(targets: List<Target>, ask: (Address) -> Result<T, Fault>): Answers<T> {
    val threads = Executors.newFixedThreadPool(PARALLEL_CALLS)
    try {
        val results = threads.invokeAll(targets.map { target -> Callable { ask(target.address) } }).map { it.get() }
        val given = mutableListOf<Answer<T>>()
        val unanswered = mutableListOf<Unanswered>()
        targets.zip(results).forEach { (target, result) ->
            result.fold(
                success = { given += Answer(target, it) },
                failure = { unanswered += Unanswered(target.address, target.host?.name, it) },
            )
        }
        return Answers(given, unanswered)
    } finally {
        threads.shutdown()
    }
}

private const val PARALLEL_CALLS = 32
