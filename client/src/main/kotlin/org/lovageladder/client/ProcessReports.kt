package org.lovageladder.client

import kotlinx.serialization.Serializable
import org.lovageladder.core.Address
import org.lovageladder.core.CompanionStatus
import org.lovageladder.core.EntryStatus
import org.lovageladder.core.ReleaseEntry
import org.lovageladder.core.ReleaseState
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.UpstreamLoad
import org.lovageladder.core.UpstreamState
import org.lovageladder.core.UpstreamView
import java.util.Locale

/*
 * Output of the commands on processes and upstreams.
 */

/** Status of the processes that answered, and those that did not. */
@Serializable
internal data class StatusReport(val processes: List<ReportedProcess>, val unreachable: List<UnreachableProcess>) {
    fun describe(): String {
        val headings = listOf("PROCESS", "ROLE", "PLACE", "ADMIN", "STATE", "RELEASE", "WORK")
        return Table(headings, processes.map { it.cells() }).render() + describeUnreachable(unreachable)
    }
}

/** One process that answered; [host] is null when the release names no host at its address. */
@Serializable
internal data class ReportedProcess(val address: Address, val host: ReleaseEntry.Host?, val status: ProcessStatus) {
    fun cells(): List<String> {
        val place = host?.place?.text ?: ABSENT_CELL
        val statusCells = when (val status = status) {
            is ProcessStatus.OfEntry -> listOf(stateOf(status.status), "${status.release}", workOf(status.status))
            is ProcessStatus.OfCompanion -> listOf(stateOf(status.status), "${status.release}", workOf(status.status))
        }
        val role = when (status) {
            is ProcessStatus.OfEntry -> "entry"
            is ProcessStatus.OfCompanion -> "companion"
        }
        return listOf(status.process.text, role, place, address.toString()) + statusCells
    }
}

private fun stateOf(status: EntryStatus): String = when {
    status.draining -> "draining"
    status.ready -> "ready"
    else -> "not ready"
}

private fun stateOf(status: CompanionStatus): String = when {
    status.leaving -> "leaving"
    status.ready -> "ready"
    else -> "not ready"
}

private fun workOf(status: EntryStatus): String =
    "${status.requestsInFlight} requests, ${status.connectedHosts.size} hosts connected"

private fun workOf(status: CompanionStatus): String =
    "${status.runningCalls} calls, ${status.reservations} reservations, " +
        "${status.connectedEntries.size} entries connected"

/** All upstreams of a release, as reported by companions and entries. */
@Serializable
internal data class UpstreamReport(
    val release: ReleaseVersion,
    val upstreams: List<ReportedUpstream>,
    val unreachable: List<UnreachableProcess>,
) {
    fun describe(): String {
        val headings =
            listOf("UPSTREAM", "POOL", "HOST", "PLACE", "STATE", "PIECES FREE", "RUNNING", "WAITING", "FIRST", "GAP")
        return Table(headings, upstreams.map { it.cells() }).render() + describeUnreachable(unreachable)
    }
}

/** An upstream, its [load] from the companion (null when that did not answer), and the [views] of the entries. */
@Serializable
internal data class ReportedUpstream(
    val upstream: ReleaseEntry.Upstream,
    val host: ReleaseEntry.Host?,
    val load: UpstreamLoad?,
    val views: List<UpstreamView>,
) {
    fun cells(): List<String> = listOf(
        upstream.name.text,
        upstream.pool.text,
        upstream.host.text,
        host?.place?.text ?: ABSENT_CELL,
        describeStates(),
        if (load == null || load.piecesTotal == 0) ABSENT_CELL else "${load.piecesFree}/${load.piecesTotal}",
        load?.running?.toString() ?: ABSENT_CELL,
        load?.waiting?.toString() ?: ABSENT_CELL,
        formatMilliseconds(views.maxOfOrNull { it.firstLatencyMicroseconds }),
        formatMilliseconds(views.maxOfOrNull { it.tokenGapMicroseconds }),
    )

    /** The state, if all entries report the same one, else each state with the number of entries that report it. */
    private fun describeStates(): String {
        val counts = views.groupingBy { it.state }.eachCount()
        return when (counts.size) {
            0 -> ABSENT_CELL
            1 -> displayName(counts.keys.single())
            else -> counts.entries.sortedBy { it.key }.joinToString { "${displayName(it.key)} at ${it.value}" }
        }
    }
}

/** Combines, for each upstream of [release], the load from its companion and the views of the entries. */
internal fun reportUpstreams(release: ReleaseState, result: QueryResult<ProcessStatus>): UpstreamReport {
    val statuses = result.answers.map { it.value }
    val loads = statuses.filterIsInstance<ProcessStatus.OfCompanion>().flatMap { it.status.loads }
    val views = statuses.filterIsInstance<ProcessStatus.OfEntry>().flatMap { it.status.upstreams }
    val upstreams = release.upstreams.values.sortedWith(compareBy({ it.pool.text }, { it.name.text }))
    val reported = upstreams.map { upstream ->
        ReportedUpstream(
            upstream = upstream,
            host = release.hosts[upstream.host],
            load = loads.find { it.upstream == upstream.name },
            views = views.filter { it.upstream == upstream.name },
        )
    }
    return UpstreamReport(release.version, reported, result.unreachable)
}

/** One line for each process that did not answer, each after a line break. */
internal fun describeUnreachable(unreachable: List<UnreachableProcess>): String =
    unreachable.joinToString("") { "\nno answer from $it" }

private fun displayName(state: UpstreamState): String = state.name.lowercase()

private const val MICROSECONDS_PER_MILLISECOND = 1000.0

private fun formatMilliseconds(microseconds: Long?): String = if (microseconds == null || microseconds <= 0) {
    ABSENT_CELL
} else {
    String.format(Locale.ROOT, "%.1fms", microseconds / MICROSECONDS_PER_MILLISECOND)
}
