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

/** A process to query; [host] is null when the release has no host with its address. */
internal data class ProcessTarget(val address: Address, val host: ReleaseEntry.Host?) {
    override fun toString(): String = if (host == null) "$address" else "${host.name} ($address)"
}

/** A process that did not answer, and why. */
@Serializable
internal data class UnreachableProcess(val address: Address, val host: HostName?, val fault: Fault) {
    override fun toString(): String = "${host ?: address}: $fault"
}

/** Answers of the processes that answered, and those that did not answer. */
internal data class QueryResult<T>(val answers: List<ProcessAnswer<T>>, val unreachable: List<UnreachableProcess>)

/** Answer of one process. */
internal data class ProcessAnswer<T>(val target: ProcessTarget, val value: T)

/** Targets at [addresses], or the processes of all hosts of [release] when there are no addresses. */
internal fun selectTargets(addresses: List<Address>, release: ReleaseState): List<ProcessTarget> {
    val hosts = release.hosts.values.sortedBy { it.name.text }
    if (addresses.isEmpty()) return hosts.map { ProcessTarget(it.adminAddress, it) }
    return addresses.map { address -> ProcessTarget(address, hosts.find { it.adminAddress == address }) }
}

/** Queries all [targets], at most [MAXIMUM_PARALLEL_CALLS] at a time; answers keep the order of the targets. */
internal fun <T> queryAll(targets: List<ProcessTarget>, query: (Address) -> Result<T, Fault>): QueryResult<T> {
    val executor = Executors.newFixedThreadPool(MAXIMUM_PARALLEL_CALLS)
    try {
        val results = executor.invokeAll(targets.map { target -> Callable { query(target.address) } }).map { it.get() }
        val answers = mutableListOf<ProcessAnswer<T>>()
        val unreachable = mutableListOf<UnreachableProcess>()
        targets.zip(results).forEach { (target, result) ->
            result.fold(
                success = { answers += ProcessAnswer(target, it) },
                failure = { unreachable += UnreachableProcess(target.address, target.host?.name, it) },
            )
        }
        return QueryResult(answers, unreachable)
    } finally {
        executor.shutdown()
    }
}

private const val MAXIMUM_PARALLEL_CALLS = 32
